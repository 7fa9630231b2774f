/* Checks of the C interface, one a run: `checks NAME CONTACT FOLDER`. Status 0 where the check holds; else a line says
 * what did not. `checks` alone names them all. */
#include "../../drmaa/include/drmaa.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char diag[DRMAA_ERROR_STRING_BUFFER];
static const char *contact, *folder;

#define WANT(call, code)                                                                                              \
    do {                                                                                                              \
        int got = (call);                                                                                             \
        if (got != (code)) {                                                                                          \
            printf("line %d: %d (%s; %s), want %d\n", __LINE__, got, drmaa_strerror(got), diag, (int)(code)); \
            exit(1);                                                                                                  \
        }                                                                                                             \
    } while (0)
#define OK(call) WANT(call, DRMAA_ERRNO_SUCCESS)
#define CHECK(what)                                        \
    do {                                                   \
        if (!(what)) {                                     \
            printf("line %d: %s (%s)\n", __LINE__, #what, diag); \
            exit(1);                                       \
        }                                                  \
    } while (0)
#define D diag, sizeof diag

static drmaa_job_template_t *jt_for(const char *command, const char *native) {
    drmaa_job_template_t *jt = NULL;
    OK(drmaa_allocate_job_template(&jt, D));
    OK(drmaa_set_attribute(jt, DRMAA_REMOTE_COMMAND, command, D));
    OK(drmaa_set_attribute(jt, DRMAA_NATIVE_SPECIFICATION, native, D));
    return jt;
}

static drmaa_job_template_t *preview(const char *command) { return jt_for(command, "class=preview tenant=au"); }

static void run(drmaa_job_template_t *jt, char *id) { OK(drmaa_run_job(id, DRMAA_JOBNAME_BUFFER, jt, D)); }

static int state(const char *id) {
    int ps;
    OK(drmaa_job_ps(id, &ps, D));
    return ps;
}

static void until(const char *id, int wanted) {
    int ps;
    while ((ps = state(id)) != wanted) CHECK(ps != DRMAA_PS_DONE && ps != DRMAA_PS_FAILED);
}

static int stat_of(const char *id) {
    int stat;
    OK(drmaa_wait(id, NULL, 0, &stat, 30, NULL, D));
    return stat;
}

static int flag(int (*of)(int *, int, char *, size_t), int stat) {
    int value;
    OK(of(&value, stat, D));
    return value;
}

static void init(void) { OK(drmaa_init(contact, D)); }

static void init_twice(void) {
    init();
    WANT(drmaa_init(contact, D), DRMAA_ERRNO_ALREADY_ACTIVE_SESSION);
}
static void init_contact(void) {
    WANT(drmaa_init("no port", D), DRMAA_ERRNO_INVALID_CONTACT_STRING);
    WANT(drmaa_init(NULL, D), DRMAA_ERRNO_NO_DEFAULT_CONTACT_STRING_SELECTED);
    setenv("DRMAA_CONTACT", contact, 1);
    OK(drmaa_init(NULL, D));
}
static void init_again(void) {
    init();
    OK(drmaa_exit(D));
    init();
}
static void exit_without(void) { WANT(drmaa_exit(D), DRMAA_ERRNO_NO_ACTIVE_SESSION); }
static void exit_leaves_jobs(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    init();
    run(preview("/slow"), id);
    OK(drmaa_exit(D));
    init();
    CHECK(state(id) != DRMAA_PS_FAILED);
}
static void without_session(void) {
    int value;
    drmaa_job_template_t *jt;
    WANT(drmaa_allocate_job_template(&jt, D), DRMAA_ERRNO_NO_ACTIVE_SESSION);
    WANT(drmaa_job_ps("x", &value, D), DRMAA_ERRNO_NO_ACTIVE_SESSION);
    WANT(drmaa_control("x", DRMAA_CONTROL_HOLD, D), DRMAA_ERRNO_NO_ACTIVE_SESSION);
    WANT(drmaa_wait("x", NULL, 0, &value, 0, NULL, D), DRMAA_ERRNO_NO_ACTIVE_SESSION);
}
static void attribute_names(void) {
    static const char *mandatory[] = {DRMAA_REMOTE_COMMAND, DRMAA_JS_STATE,    DRMAA_WD,         DRMAA_JOB_CATEGORY,
                                      DRMAA_NATIVE_SPECIFICATION, DRMAA_BLOCK_EMAIL, DRMAA_START_TIME, DRMAA_JOB_NAME,
                                      DRMAA_INPUT_PATH,     DRMAA_OUTPUT_PATH, DRMAA_ERROR_PATH, DRMAA_JOIN_FILES};
    char name[DRMAA_ATTR_BUFFER];
    drmaa_attr_names_t *names;
    size_t size, found = 0, i;
    OK(drmaa_get_attribute_names(&names, D));
    OK(drmaa_get_num_attr_names(names, &size));
    while (drmaa_get_next_attr_name(names, name, sizeof name) == 0)
        for (i = 0; i < sizeof mandatory / sizeof *mandatory; i++) found += strcmp(name, mandatory[i]) == 0;
    CHECK(found == sizeof mandatory / sizeof *mandatory && size >= found);
    drmaa_release_attr_names(names);
}
static void vector_names(void) {
    char name[DRMAA_ATTR_BUFFER];
    drmaa_attr_names_t *names;
    int found = 0;
    OK(drmaa_get_vector_attribute_names(&names, D));
    while (drmaa_get_next_attr_name(names, name, sizeof name) == 0)
        found += !strcmp(name, DRMAA_V_ARGV) + !strcmp(name, DRMAA_V_ENV) + !strcmp(name, DRMAA_V_EMAIL);
    CHECK(found == 3);
    drmaa_release_attr_names(names);
}
static void set_and_get(void) {
    char value[DRMAA_ATTR_BUFFER];
    drmaa_job_template_t *jt;
    init();
    jt = preview("/x");
    OK(drmaa_set_attribute(jt, DRMAA_JOB_NAME, "first", D));
    OK(drmaa_set_attribute(jt, DRMAA_JOB_NAME, "second", D));
    OK(drmaa_get_attribute(jt, DRMAA_JOB_NAME, value, sizeof value, D));
    CHECK(!strcmp(value, "second"));
    WANT(drmaa_get_attribute(jt, DRMAA_JOB_NAME, value, 3, D), DRMAA_ERRNO_INVALID_ARGUMENT);
    OK(drmaa_delete_job_template(jt, D));
}
static void unknown_attribute(void) {
    init();
    WANT(drmaa_set_attribute(preview("/x"), "drmaa_colour", "red", D), DRMAA_ERRNO_INVALID_ARGUMENT);
    CHECK(strstr(diag, "drmaa_colour"));
}
static void attribute_format(void) {
    init();
    WANT(drmaa_set_attribute(preview("/x"), DRMAA_START_TIME, "tomorrow", D), DRMAA_ERRNO_INVALID_ATTRIBUTE_FORMAT);
    WANT(drmaa_set_attribute(preview("/x"), DRMAA_OUTPUT_PATH, "/no-colon", D), DRMAA_ERRNO_INVALID_ATTRIBUTE_FORMAT);
}
static void attribute_value(void) {
    init();
    WANT(drmaa_set_attribute(preview("/x"), DRMAA_JS_STATE, "asleep", D), DRMAA_ERRNO_INVALID_ATTRIBUTE_VALUE);
}
static void conflicting(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    const char *args[] = {"a", NULL};
    drmaa_job_template_t *jt;
    init();
    jt = preview("/x");
    OK(drmaa_set_attribute(jt, DRMAA_INPUT_PATH, ":/dev/null", D));
    OK(drmaa_set_vector_attribute(jt, DRMAA_V_ARGV, args, D));
    WANT(drmaa_run_job(id, sizeof id, jt, D), DRMAA_ERRNO_CONFLICTING_ATTRIBUTE_VALUES);
}
static void vectors(void) {
    char value[DRMAA_ATTR_BUFFER];
    const char *args[] = {"one", "two", NULL};
    drmaa_attr_values_t *values;
    drmaa_job_template_t *jt;
    size_t size;
    init();
    jt = preview("/x");
    OK(drmaa_set_vector_attribute(jt, DRMAA_V_ARGV, args, D));
    OK(drmaa_get_vector_attribute(jt, DRMAA_V_ARGV, &values, D));
    OK(drmaa_get_num_attr_values(values, &size));
    CHECK(size == 2);
    OK(drmaa_get_next_attr_value(values, value, sizeof value));
    OK(drmaa_get_next_attr_value(values, value, sizeof value));
    CHECK(!strcmp(value, "two"));
    WANT(drmaa_get_next_attr_value(values, value, sizeof value), DRMAA_ERRNO_NO_MORE_ELEMENTS);
    WANT(drmaa_get_next_attr_value(values, value, sizeof value), DRMAA_ERRNO_NO_MORE_ELEMENTS);
    drmaa_release_attr_values(values);
}
static void environment(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    const char *env[] = {"A=b", NULL};
    drmaa_job_template_t *jt;
    init();
    jt = preview("/x");
    OK(drmaa_set_vector_attribute(jt, DRMAA_V_ENV, env, D));
    WANT(drmaa_run_job(id, sizeof id, jt, D), DRMAA_ERRNO_DENIED_BY_DRM);
    CHECK(strstr(diag, DRMAA_V_ENV));
}
static void email(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    const char *to[] = {"a@b", NULL};
    drmaa_job_template_t *jt;
    init();
    jt = preview("/x");
    OK(drmaa_set_vector_attribute(jt, DRMAA_V_EMAIL, to, D));
    WANT(drmaa_run_job(id, sizeof id, jt, D), DRMAA_ERRNO_DENIED_BY_DRM);
    OK(drmaa_set_attribute(jt, DRMAA_BLOCK_EMAIL, "1", D));
    run(jt, id);
}
static void run_one(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    int stat;
    init();
    run(preview("/x"), id);
    stat = stat_of(id);
    CHECK(flag(drmaa_wifexited, stat) && !flag(drmaa_wexitstatus, stat));
    CHECK(!flag(drmaa_wifaborted, stat) && !flag(drmaa_wifsignaled, stat) && !flag(drmaa_wcoredump, stat));
}
static void denied(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    init();
    WANT(drmaa_run_job(id, sizeof id, jt_for("/x", "class=nonsense tenant=au"), D), DRMAA_ERRNO_DENIED_BY_DRM);
    CHECK(strstr(diag, "nonsense"));
}
static void start_time(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    drmaa_job_template_t *jt;
    init();
    jt = preview("/x");
    OK(drmaa_set_attribute(jt, DRMAA_START_TIME, "2099/01/01 10:00 +00:00", D));
    run(jt, id);
    CHECK(state(id) == DRMAA_PS_USER_ON_HOLD);
    OK(drmaa_control(id, DRMAA_CONTROL_TERMINATE, D));
}
static void paths(void) {
    char id[DRMAA_JOBNAME_BUFFER], text[DRMAA_ATTR_BUFFER], line[64] = "";
    drmaa_job_template_t *jt;
    FILE *file;
    init();
    jt = preview("/to-file");
    OK(drmaa_set_attribute(jt, DRMAA_WD, folder, D));
    OK(drmaa_set_attribute(jt, DRMAA_OUTPUT_PATH, ":$drmaa_wd_ph$/result", D));
    run(jt, id);
    stat_of(id);
    snprintf(text, sizeof text, "%s/result", folder);
    file = fopen(text, "r");
    CHECK(file && fgets(line, sizeof line, file) && !strcmp(line, "made /to-file"));
}
static void bulk(void) {
    drmaa_job_ids_t *ids;
    size_t size;
    init();
    OK(drmaa_run_bulk_jobs(&ids, preview("/bulk/$drmaa_incr_ph$"), 2, 10, 2, D));
    OK(drmaa_get_num_job_ids(ids, &size));
    CHECK(size == 5);
    drmaa_release_job_ids(ids);
}
static void bulk_indices(void) {
    drmaa_job_ids_t *ids;
    init();
    WANT(drmaa_run_bulk_jobs(&ids, preview("/x"), 3, 1, 1, D), DRMAA_ERRNO_INVALID_ARGUMENT);
    WANT(drmaa_run_bulk_jobs(&ids, preview("/x"), 1, 3, 0, D), DRMAA_ERRNO_INVALID_ARGUMENT);
    WANT(drmaa_run_bulk_jobs(&ids, preview("/x"), 0, 3, 1, D), DRMAA_ERRNO_INVALID_ARGUMENT);
}
static void control_hold(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    drmaa_job_template_t *jt;
    init();
    jt = preview("/x");
    OK(drmaa_set_attribute(jt, DRMAA_JS_STATE, DRMAA_SUBMISSION_STATE_HOLD, D));
    run(jt, id);
    CHECK(state(id) == DRMAA_PS_USER_ON_HOLD);
    WANT(drmaa_control(id, DRMAA_CONTROL_HOLD, D), DRMAA_ERRNO_HOLD_INCONSISTENT_STATE);
    OK(drmaa_control(id, DRMAA_CONTROL_RELEASE, D));
    CHECK(flag(drmaa_wifexited, stat_of(id)));
}
static void control_states(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    init();
    run(preview("/slow"), id);
    until(id, DRMAA_PS_RUNNING);
    WANT(drmaa_control(id, DRMAA_CONTROL_SUSPEND, D), DRMAA_ERRNO_SUSPEND_INCONSISTENT_STATE);
    WANT(drmaa_control(id, DRMAA_CONTROL_RESUME, D), DRMAA_ERRNO_RESUME_INCONSISTENT_STATE);
    WANT(drmaa_control(id, DRMAA_CONTROL_HOLD, D), DRMAA_ERRNO_HOLD_INCONSISTENT_STATE);
    WANT(drmaa_control(id, DRMAA_CONTROL_RELEASE, D), DRMAA_ERRNO_RELEASE_INCONSISTENT_STATE);
    WANT(drmaa_control(id, 77, D), DRMAA_ERRNO_INVALID_ARGUMENT);
}
static void control_terminate(void) {
    char id[DRMAA_JOBNAME_BUFFER], signal[DRMAA_SIGNAL_BUFFER];
    int stat;
    init();
    run(preview("/slow"), id);
    until(id, DRMAA_PS_RUNNING);
    OK(drmaa_control(id, DRMAA_CONTROL_TERMINATE, D));
    stat = stat_of(id);
    OK(drmaa_wtermsig(signal, sizeof signal, stat, D));
    CHECK(flag(drmaa_wifsignaled, stat) && !strcmp(signal, "SIGTERM"));
}
static void control_all(void) {
    const char *all[] = {DRMAA_JOB_IDS_SESSION_ALL, NULL};
    char id[DRMAA_JOBNAME_BUFFER];
    drmaa_job_template_t *jt;
    int i;
    init();
    jt = preview("/x");
    OK(drmaa_set_attribute(jt, DRMAA_JS_STATE, DRMAA_SUBMISSION_STATE_HOLD, D));
    for (i = 0; i < 5; i++) run(jt, id);
    OK(drmaa_control(DRMAA_JOB_IDS_SESSION_ALL, DRMAA_CONTROL_RELEASE, D));
    OK(drmaa_synchronize(all, 30, 0, D));
    CHECK(flag(drmaa_wifexited, stat_of(id)));
}
static void control_unknown(void) {
    init();
    WANT(drmaa_control("no-such-job", DRMAA_CONTROL_TERMINATE, D), DRMAA_ERRNO_INVALID_JOB);
}
static void ps_states(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    init();
    run(preview("/slow"), id);
    until(id, DRMAA_PS_RUNNING);
    OK(drmaa_control(id, DRMAA_CONTROL_TERMINATE, D));
    CHECK(state(id) == DRMAA_PS_FAILED);
    run(preview("/x"), id);
    until(id, DRMAA_PS_DONE);
}
static void ps_unknown(void) {
    int value;
    init();
    WANT(drmaa_job_ps("no-such-job", &value, D), DRMAA_ERRNO_INVALID_JOB);
}
static void sync_timeout(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    const char *ids[] = {id, NULL};
    init();
    run(preview("/slow"), id);
    WANT(drmaa_synchronize(ids, DRMAA_TIMEOUT_NO_WAIT, 0, D), DRMAA_ERRNO_EXIT_TIMEOUT);
    WANT(drmaa_synchronize(ids, 1, 0, D), DRMAA_ERRNO_EXIT_TIMEOUT);
}
static void sync_dispose(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    const char *ids[] = {id, NULL};
    init();
    run(preview("/x"), id);
    OK(drmaa_synchronize(ids, DRMAA_TIMEOUT_WAIT_FOREVER, 0, D));
    OK(drmaa_synchronize(ids, DRMAA_TIMEOUT_WAIT_FOREVER, 1, D));
    WANT(drmaa_wait(id, NULL, 0, NULL, 0, NULL, D), DRMAA_ERRNO_INVALID_JOB);
}
static void sync_unknown(void) {
    const char *ids[] = {"no-such-job", NULL};
    init();
    WANT(drmaa_synchronize(ids, 1, 0, D), DRMAA_ERRNO_INVALID_JOB);
}
static void wait_twice(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    init();
    run(preview("/x"), id);
    stat_of(id);
    WANT(drmaa_wait(id, NULL, 0, NULL, DRMAA_TIMEOUT_WAIT_FOREVER, NULL, D), DRMAA_ERRNO_INVALID_JOB);
}
static void wait_any(void) {
    char id[DRMAA_JOBNAME_BUFFER], other[DRMAA_JOBNAME_BUFFER];
    int stat;
    init();
    WANT(drmaa_wait(DRMAA_JOB_IDS_SESSION_ANY, other, sizeof other, &stat, 1, NULL, D), DRMAA_ERRNO_INVALID_JOB);
    run(preview("/x"), id);
    OK(drmaa_wait(DRMAA_JOB_IDS_SESSION_ANY, other, sizeof other, &stat, 30, NULL, D));
    CHECK(!strcmp(id, other));
}
static void wait_timeout(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    init();
    run(preview("/slow"), id);
    WANT(drmaa_wait(id, NULL, 0, NULL, DRMAA_TIMEOUT_NO_WAIT, NULL, D), DRMAA_ERRNO_EXIT_TIMEOUT);
    WANT(drmaa_wait(id, NULL, 0, NULL, -7, NULL, D), DRMAA_ERRNO_INVALID_ARGUMENT);
}
static void wait_rusage(void) {
    char id[DRMAA_JOBNAME_BUFFER], value[DRMAA_ATTR_BUFFER];
    drmaa_attr_values_t *usage;
    int found = 0, stat;
    init();
    run(preview("/x"), id);
    OK(drmaa_wait(id, NULL, 0, &stat, 30, &usage, D));
    while (drmaa_get_next_attr_value(usage, value, sizeof value) == 0)
        found += !strncmp(value, "start_time=", 11) + !strncmp(value, "end_time=", 9) + !strncmp(value, "machine=w", 9);
    CHECK(found == 3);
    drmaa_release_attr_values(usage);
}
static void wait_aborted(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    drmaa_job_template_t *jt;
    int stat;
    init();
    jt = preview("/x");
    OK(drmaa_set_attribute(jt, DRMAA_JS_STATE, DRMAA_SUBMISSION_STATE_HOLD, D));
    run(jt, id);
    OK(drmaa_control(id, DRMAA_CONTROL_TERMINATE, D));
    stat = stat_of(id);
    CHECK(flag(drmaa_wifaborted, stat) && !flag(drmaa_wifexited, stat));
}
static void wait_failed(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    int stat;
    init();
    run(jt_for("/fail", "class=sheet-publish tenant=au key=v1-fail"), id);
    stat = stat_of(id);
    CHECK(flag(drmaa_wifexited, stat) && flag(drmaa_wexitstatus, stat) == 1);
}
static void strerrors(void) {
    int code;
    for (code = 0; code <= 25; code++) CHECK(strlen(drmaa_strerror(code)) > 5);
    CHECK(drmaa_strerror(-1) && drmaa_strerror(9999));
}
static void information(void) {
    char text[DRMAA_CONTACT_BUFFER];
    unsigned major, minor;
    OK(drmaa_version(&major, &minor, D));
    CHECK(major == 1 && minor == 0);
    OK(drmaa_get_DRM_system(text, sizeof text, D));
    OK(drmaa_get_DRMAA_implementation(text, sizeof text, D));
    init();
    OK(drmaa_get_contact(text, sizeof text, D));
    CHECK(!strcmp(text, contact));
}
static void short_diagnosis(void) {
    char small[8] = "1234567";
    WANT(drmaa_init("nowhere at all", small, 4), DRMAA_ERRNO_INVALID_CONTACT_STRING);
    CHECK(strlen(small) == 3);
    WANT(drmaa_init("nowhere at all", NULL, 0), DRMAA_ERRNO_INVALID_CONTACT_STRING);
}
static void null_arguments(void) {
    init();
    WANT(drmaa_set_attribute(NULL, NULL, NULL, D), DRMAA_ERRNO_INVALID_ARGUMENT);
    WANT(drmaa_run_job(NULL, 0, preview("/x"), D), DRMAA_ERRNO_INVALID_ARGUMENT);
    WANT(drmaa_job_ps(NULL, NULL, D), DRMAA_ERRNO_INVALID_ARGUMENT);
    WANT(drmaa_wait(NULL, NULL, 0, NULL, 0, NULL, D), DRMAA_ERRNO_INVALID_ARGUMENT);
    WANT(drmaa_synchronize(NULL, 0, 0, D), DRMAA_ERRNO_INVALID_ARGUMENT);
    drmaa_release_job_ids(NULL);
}

static void *submit(void *template) {
    char id[DRMAA_JOBNAME_BUFFER], words[DRMAA_ERROR_STRING_BUFFER];
    int i, stat;
    for (i = 0; i < 20; i++)
        if (drmaa_run_job(id, sizeof id, template, words, sizeof words) ||
            drmaa_wait(id, NULL, 0, &stat, 30, NULL, words, sizeof words))
            return "failed";
    return NULL;
}
static void threads(void) {
    pthread_t all[8];
    drmaa_job_template_t *jt;
    void *end;
    int i;
    init();
    jt = preview("/x");
    for (i = 0; i < 8; i++) CHECK(!pthread_create(&all[i], NULL, submit, jt));
    for (i = 0; i < 8; i++) CHECK(!pthread_join(all[i], &end) && !end);
}

#define NAMED(name) {#name, name}
static const struct {
    const char *name;
    void (*check)(void);
} checks[] = {
    NAMED(init_twice),       NAMED(init_contact),     NAMED(init_again),        NAMED(exit_without),
    NAMED(exit_leaves_jobs), NAMED(without_session),  NAMED(attribute_names),   NAMED(vector_names),
    NAMED(set_and_get),      NAMED(unknown_attribute), NAMED(attribute_format), NAMED(attribute_value),
    NAMED(conflicting),      NAMED(vectors),          NAMED(environment),       NAMED(email),
    NAMED(run_one),          NAMED(denied),           NAMED(start_time),        NAMED(paths),
    NAMED(bulk),             NAMED(bulk_indices),     NAMED(control_hold),      NAMED(control_states),
    NAMED(control_terminate), NAMED(control_all),     NAMED(control_unknown),   NAMED(ps_states),
    NAMED(ps_unknown),       NAMED(sync_timeout),     NAMED(sync_dispose),      NAMED(sync_unknown),
    NAMED(wait_twice),       NAMED(wait_any),         NAMED(wait_timeout),      NAMED(wait_rusage),
    NAMED(wait_aborted),     NAMED(wait_failed),      NAMED(strerrors),         NAMED(information),
    NAMED(short_diagnosis),  NAMED(null_arguments),   NAMED(threads),
};

int main(int argc, char **argv) {
    size_t i;
    if (argc == 4) {
        contact = argv[2];
        folder = argv[3];
    }
    for (i = 0; i < sizeof checks / sizeof *checks; i++) {
        if (argc != 4) {
            puts(checks[i].name);
        } else if (!strcmp(argv[1], checks[i].name)) {
            checks[i].check();
            return 0;
        }
    }
    if (argc == 4) puts("no such check");
    return argc == 4;
}
