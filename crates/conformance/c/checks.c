/* Checks of the DRMAA C interface. `checks NAME CONTACT FOLDER` runs one check: it exits with status 0 if the check
 * passes; otherwise it prints the line and the reason of the failure and exits with status 1. `checks` without
 * arguments lists the names of all checks. */
#include "../../drmaa/include/drmaa.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The error diagnosis of the last call. */
static char diag[DRMAA_ERROR_STRING_BUFFER];
/* The contact string of the node, and a folder for files that a check writes. */
static const char *contact, *folder;

/* Fails the check unless the call returns this error code. */
#define EXPECT_CODE(call, code)                                                                                    \
    do {                                                                                                           \
        int actual = (call);                                                                                       \
        if (actual != (code)) {                                                                                    \
            printf("line %d: got error code %d (%s; %s), expected %d\n", __LINE__, actual, drmaa_strerror(actual), \
                   diag, (int)(code));                                                                             \
            exit(1);                                                                                               \
        }                                                                                                          \
    } while (0)
#define EXPECT_SUCCESS(call) EXPECT_CODE(call, DRMAA_ERRNO_SUCCESS)
/* Fails the check unless the condition holds. */
#define CHECK(condition)                                                                                  \
    do {                                                                                                  \
        if (!(condition)) {                                                                               \
            printf("line %d: condition is false: %s (last diagnosis: %s)\n", __LINE__, #condition, diag); \
            exit(1);                                                                                      \
        }                                                                                                 \
    } while (0)
/* The arguments for the error diagnosis. */
#define DIAG diag, sizeof diag

/* Allocates a job template with a command and a native specification. */
static drmaa_job_template_t *new_template(const char *command, const char *native) {
    drmaa_job_template_t *jt = NULL;
    EXPECT_SUCCESS(drmaa_allocate_job_template(&jt, DIAG));
    EXPECT_SUCCESS(drmaa_set_attribute(jt, DRMAA_REMOTE_COMMAND, command, DIAG));
    EXPECT_SUCCESS(drmaa_set_attribute(jt, DRMAA_NATIVE_SPECIFICATION, native, DIAG));
    return jt;
}

/* Allocates a job template of the class preview. */
static drmaa_job_template_t *preview_template(const char *command) {
    return new_template(command, "class=preview tenant=au");
}

/* Submits a job. */
static void run_job(drmaa_job_template_t *jt, char *id) {
    EXPECT_SUCCESS(drmaa_run_job(id, DRMAA_JOBNAME_BUFFER, jt, DIAG));
}

/* Returns the state of a job. */
static int job_state(const char *id) {
    int ps;
    EXPECT_SUCCESS(drmaa_job_ps(id, &ps, DIAG));
    return ps;
}

/* Waits for a state of a job; fails the check if the job ends in another state. */
static void wait_for_state(const char *id, int expected) {
    int ps;
    while ((ps = job_state(id)) != expected) CHECK(ps != DRMAA_PS_DONE && ps != DRMAA_PS_FAILED);
}

/* Waits for the end of a job and returns its status for the drmaa_wif* functions. */
static int wait_for_job(const char *id) {
    int stat;
    EXPECT_SUCCESS(drmaa_wait(id, NULL, 0, &stat, 30, NULL, DIAG));
    return stat;
}

/* Returns the value that one of the drmaa_wif* functions or drmaa_wexitstatus reads from a status. */
static int read_status(int (*function)(int *, int, char *, size_t), int stat) {
    int value;
    EXPECT_SUCCESS(function(&value, stat, DIAG));
    return value;
}

/* Opens the session of the process. */
static void init(void) { EXPECT_SUCCESS(drmaa_init(contact, DIAG)); }

static void init_twice(void) {
    init();
    EXPECT_CODE(drmaa_init(contact, DIAG), DRMAA_ERRNO_ALREADY_ACTIVE_SESSION);
}
static void init_contact_string(void) {
    EXPECT_CODE(drmaa_init("no port", DIAG), DRMAA_ERRNO_INVALID_CONTACT_STRING);
    EXPECT_CODE(drmaa_init(NULL, DIAG), DRMAA_ERRNO_NO_DEFAULT_CONTACT_STRING_SELECTED);
    setenv("DRMAA_CONTACT", contact, 1);
    EXPECT_SUCCESS(drmaa_init(NULL, DIAG));
}
static void init_after_exit(void) {
    init();
    EXPECT_SUCCESS(drmaa_exit(DIAG));
    init();
}
static void exit_without_session(void) { EXPECT_CODE(drmaa_exit(DIAG), DRMAA_ERRNO_NO_ACTIVE_SESSION); }
static void exit_keeps_jobs(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    init();
    run_job(preview_template("/slow"), id);
    EXPECT_SUCCESS(drmaa_exit(DIAG));
    init();
    CHECK(job_state(id) != DRMAA_PS_FAILED);
}
static void jobs_without_session(void) {
    int value;
    drmaa_job_template_t *jt;
    EXPECT_CODE(drmaa_allocate_job_template(&jt, DIAG), DRMAA_ERRNO_NO_ACTIVE_SESSION);
    EXPECT_CODE(drmaa_job_ps("x", &value, DIAG), DRMAA_ERRNO_NO_ACTIVE_SESSION);
    EXPECT_CODE(drmaa_control("x", DRMAA_CONTROL_HOLD, DIAG), DRMAA_ERRNO_NO_ACTIVE_SESSION);
    EXPECT_CODE(drmaa_wait("x", NULL, 0, &value, 0, NULL, DIAG), DRMAA_ERRNO_NO_ACTIVE_SESSION);
}
static void attribute_names(void) {
    static const char *mandatory[] = {DRMAA_REMOTE_COMMAND, DRMAA_JS_STATE,    DRMAA_WD,         DRMAA_JOB_CATEGORY,
                                      DRMAA_NATIVE_SPECIFICATION, DRMAA_BLOCK_EMAIL, DRMAA_START_TIME, DRMAA_JOB_NAME,
                                      DRMAA_INPUT_PATH,     DRMAA_OUTPUT_PATH, DRMAA_ERROR_PATH, DRMAA_JOIN_FILES};
    char name[DRMAA_ATTR_BUFFER];
    drmaa_attr_names_t *names;
    size_t size, found = 0, i;
    EXPECT_SUCCESS(drmaa_get_attribute_names(&names, DIAG));
    EXPECT_SUCCESS(drmaa_get_num_attr_names(names, &size));
    while (drmaa_get_next_attr_name(names, name, sizeof name) == 0)
        for (i = 0; i < sizeof mandatory / sizeof *mandatory; i++) found += strcmp(name, mandatory[i]) == 0;
    CHECK(found == sizeof mandatory / sizeof *mandatory && size >= found);
    drmaa_release_attr_names(names);
}
static void vector_attribute_names(void) {
    char name[DRMAA_ATTR_BUFFER];
    drmaa_attr_names_t *names;
    int found = 0;
    EXPECT_SUCCESS(drmaa_get_vector_attribute_names(&names, DIAG));
    while (drmaa_get_next_attr_name(names, name, sizeof name) == 0)
        found += !strcmp(name, DRMAA_V_ARGV) + !strcmp(name, DRMAA_V_ENV) + !strcmp(name, DRMAA_V_EMAIL);
    CHECK(found == 3);
    drmaa_release_attr_names(names);
}
static void set_and_get(void) {
    char value[DRMAA_ATTR_BUFFER];
    drmaa_job_template_t *jt;
    init();
    jt = preview_template("/x");
    EXPECT_SUCCESS(drmaa_set_attribute(jt, DRMAA_JOB_NAME, "first", DIAG));
    EXPECT_SUCCESS(drmaa_set_attribute(jt, DRMAA_JOB_NAME, "second", DIAG));
    EXPECT_SUCCESS(drmaa_get_attribute(jt, DRMAA_JOB_NAME, value, sizeof value, DIAG));
    CHECK(!strcmp(value, "second"));
    EXPECT_CODE(drmaa_get_attribute(jt, DRMAA_JOB_NAME, value, 3, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    EXPECT_SUCCESS(drmaa_delete_job_template(jt, DIAG));
}
static void unknown_attribute(void) {
    init();
    EXPECT_CODE(drmaa_set_attribute(preview_template("/x"), "drmaa_colour", "red", DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    CHECK(strstr(diag, "drmaa_colour"));
}
static void attribute_format(void) {
    init();
    EXPECT_CODE(drmaa_set_attribute(preview_template("/x"), DRMAA_START_TIME, "tomorrow", DIAG),
                DRMAA_ERRNO_INVALID_ATTRIBUTE_FORMAT);
    EXPECT_CODE(drmaa_set_attribute(preview_template("/x"), DRMAA_OUTPUT_PATH, "/no-colon", DIAG),
                DRMAA_ERRNO_INVALID_ATTRIBUTE_FORMAT);
}
static void attribute_value(void) {
    init();
    EXPECT_CODE(drmaa_set_attribute(preview_template("/x"), DRMAA_JS_STATE, "asleep", DIAG),
                DRMAA_ERRNO_INVALID_ATTRIBUTE_VALUE);
}
static void conflicting_attributes(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    const char *args[] = {"a", NULL};
    drmaa_job_template_t *jt;
    init();
    jt = preview_template("/x");
    EXPECT_SUCCESS(drmaa_set_attribute(jt, DRMAA_INPUT_PATH, ":/dev/null", DIAG));
    EXPECT_SUCCESS(drmaa_set_vector_attribute(jt, DRMAA_V_ARGV, args, DIAG));
    EXPECT_CODE(drmaa_run_job(id, sizeof id, jt, DIAG), DRMAA_ERRNO_CONFLICTING_ATTRIBUTE_VALUES);
}
static void vector_attributes(void) {
    char value[DRMAA_ATTR_BUFFER];
    const char *args[] = {"one", "two", NULL};
    drmaa_attr_values_t *values;
    drmaa_job_template_t *jt;
    size_t size;
    init();
    jt = preview_template("/x");
    EXPECT_SUCCESS(drmaa_set_vector_attribute(jt, DRMAA_V_ARGV, args, DIAG));
    EXPECT_SUCCESS(drmaa_get_vector_attribute(jt, DRMAA_V_ARGV, &values, DIAG));
    EXPECT_SUCCESS(drmaa_get_num_attr_values(values, &size));
    CHECK(size == 2);
    EXPECT_SUCCESS(drmaa_get_next_attr_value(values, value, sizeof value));
    EXPECT_SUCCESS(drmaa_get_next_attr_value(values, value, sizeof value));
    CHECK(!strcmp(value, "two"));
    EXPECT_CODE(drmaa_get_next_attr_value(values, value, sizeof value), DRMAA_ERRNO_NO_MORE_ELEMENTS);
    EXPECT_CODE(drmaa_get_next_attr_value(values, value, sizeof value), DRMAA_ERRNO_NO_MORE_ELEMENTS);
    drmaa_release_attr_values(values);
}
static void environment_attribute(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    const char *env[] = {"A=b", NULL};
    drmaa_job_template_t *jt;
    init();
    jt = preview_template("/x");
    EXPECT_SUCCESS(drmaa_set_vector_attribute(jt, DRMAA_V_ENV, env, DIAG));
    EXPECT_CODE(drmaa_run_job(id, sizeof id, jt, DIAG), DRMAA_ERRNO_DENIED_BY_DRM);
    CHECK(strstr(diag, DRMAA_V_ENV));
}
static void email_attributes(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    const char *addresses[] = {"a@b", NULL};
    drmaa_job_template_t *jt;
    init();
    jt = preview_template("/x");
    EXPECT_SUCCESS(drmaa_set_vector_attribute(jt, DRMAA_V_EMAIL, addresses, DIAG));
    EXPECT_CODE(drmaa_run_job(id, sizeof id, jt, DIAG), DRMAA_ERRNO_DENIED_BY_DRM);
    EXPECT_SUCCESS(drmaa_set_attribute(jt, DRMAA_BLOCK_EMAIL, "1", DIAG));
    run_job(jt, id);
}
static void run_and_wait(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    int stat;
    init();
    run_job(preview_template("/x"), id);
    stat = wait_for_job(id);
    CHECK(read_status(drmaa_wifexited, stat) && !read_status(drmaa_wexitstatus, stat));
    CHECK(!read_status(drmaa_wifaborted, stat) && !read_status(drmaa_wifsignaled, stat) &&
          !read_status(drmaa_wcoredump, stat));
}
static void run_denied(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    init();
    EXPECT_CODE(drmaa_run_job(id, sizeof id, new_template("/x", "class=nonsense tenant=au"), DIAG),
                DRMAA_ERRNO_DENIED_BY_DRM);
    CHECK(strstr(diag, "nonsense"));
}
static void start_time(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    drmaa_job_template_t *jt;
    init();
    jt = preview_template("/x");
    EXPECT_SUCCESS(drmaa_set_attribute(jt, DRMAA_START_TIME, "2099/01/01 10:00 +00:00", DIAG));
    run_job(jt, id);
    CHECK(job_state(id) == DRMAA_PS_USER_ON_HOLD);
    EXPECT_SUCCESS(drmaa_control(id, DRMAA_CONTROL_TERMINATE, DIAG));
}
static void output_path(void) {
    char id[DRMAA_JOBNAME_BUFFER], text[DRMAA_ATTR_BUFFER], line[64] = "";
    drmaa_job_template_t *jt;
    FILE *file;
    init();
    jt = preview_template("/to-file");
    EXPECT_SUCCESS(drmaa_set_attribute(jt, DRMAA_WD, folder, DIAG));
    EXPECT_SUCCESS(drmaa_set_attribute(jt, DRMAA_OUTPUT_PATH, ":$drmaa_wd_ph$/result", DIAG));
    run_job(jt, id);
    wait_for_job(id);
    snprintf(text, sizeof text, "%s/result", folder);
    file = fopen(text, "r");
    CHECK(file && fgets(line, sizeof line, file) && !strcmp(line, "made /to-file"));
}
static void run_bulk(void) {
    drmaa_job_ids_t *ids;
    size_t size;
    init();
    EXPECT_SUCCESS(drmaa_run_bulk_jobs(&ids, preview_template("/bulk/$drmaa_incr_ph$"), 2, 10, 2, DIAG));
    EXPECT_SUCCESS(drmaa_get_num_job_ids(ids, &size));
    CHECK(size == 5);
    drmaa_release_job_ids(ids);
}
static void run_bulk_indices(void) {
    drmaa_job_ids_t *ids;
    init();
    EXPECT_CODE(drmaa_run_bulk_jobs(&ids, preview_template("/x"), 3, 1, 1, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    EXPECT_CODE(drmaa_run_bulk_jobs(&ids, preview_template("/x"), 1, 3, 0, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    EXPECT_CODE(drmaa_run_bulk_jobs(&ids, preview_template("/x"), 0, 3, 1, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
}
static void control_hold(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    drmaa_job_template_t *jt;
    init();
    jt = preview_template("/x");
    EXPECT_SUCCESS(drmaa_set_attribute(jt, DRMAA_JS_STATE, DRMAA_SUBMISSION_STATE_HOLD, DIAG));
    run_job(jt, id);
    CHECK(job_state(id) == DRMAA_PS_USER_ON_HOLD);
    EXPECT_CODE(drmaa_control(id, DRMAA_CONTROL_HOLD, DIAG), DRMAA_ERRNO_HOLD_INCONSISTENT_STATE);
    EXPECT_SUCCESS(drmaa_control(id, DRMAA_CONTROL_RELEASE, DIAG));
    CHECK(read_status(drmaa_wifexited, wait_for_job(id)));
}
static void control_states(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    init();
    run_job(preview_template("/slow"), id);
    wait_for_state(id, DRMAA_PS_RUNNING);
    EXPECT_CODE(drmaa_control(id, DRMAA_CONTROL_SUSPEND, DIAG), DRMAA_ERRNO_SUSPEND_INCONSISTENT_STATE);
    EXPECT_CODE(drmaa_control(id, DRMAA_CONTROL_RESUME, DIAG), DRMAA_ERRNO_RESUME_INCONSISTENT_STATE);
    EXPECT_CODE(drmaa_control(id, DRMAA_CONTROL_HOLD, DIAG), DRMAA_ERRNO_HOLD_INCONSISTENT_STATE);
    EXPECT_CODE(drmaa_control(id, DRMAA_CONTROL_RELEASE, DIAG), DRMAA_ERRNO_RELEASE_INCONSISTENT_STATE);
    EXPECT_CODE(drmaa_control(id, 77, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
}
static void control_terminate(void) {
    char id[DRMAA_JOBNAME_BUFFER], signal[DRMAA_SIGNAL_BUFFER];
    int stat;
    init();
    run_job(preview_template("/slow"), id);
    wait_for_state(id, DRMAA_PS_RUNNING);
    EXPECT_SUCCESS(drmaa_control(id, DRMAA_CONTROL_TERMINATE, DIAG));
    stat = wait_for_job(id);
    EXPECT_SUCCESS(drmaa_wtermsig(signal, sizeof signal, stat, DIAG));
    CHECK(read_status(drmaa_wifsignaled, stat) && !strcmp(signal, "SIGTERM"));
}
static void control_session(void) {
    const char *all_jobs[] = {DRMAA_JOB_IDS_SESSION_ALL, NULL};
    char id[DRMAA_JOBNAME_BUFFER];
    drmaa_job_template_t *jt;
    int i;
    init();
    jt = preview_template("/x");
    EXPECT_SUCCESS(drmaa_set_attribute(jt, DRMAA_JS_STATE, DRMAA_SUBMISSION_STATE_HOLD, DIAG));
    for (i = 0; i < 5; i++) run_job(jt, id);
    EXPECT_SUCCESS(drmaa_control(DRMAA_JOB_IDS_SESSION_ALL, DRMAA_CONTROL_RELEASE, DIAG));
    EXPECT_SUCCESS(drmaa_synchronize(all_jobs, 30, 0, DIAG));
    CHECK(read_status(drmaa_wifexited, wait_for_job(id)));
}
static void control_unknown(void) {
    init();
    EXPECT_CODE(drmaa_control("no-such-job", DRMAA_CONTROL_TERMINATE, DIAG), DRMAA_ERRNO_INVALID_JOB);
}
static void ps_states(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    init();
    run_job(preview_template("/slow"), id);
    wait_for_state(id, DRMAA_PS_RUNNING);
    EXPECT_SUCCESS(drmaa_control(id, DRMAA_CONTROL_TERMINATE, DIAG));
    CHECK(job_state(id) == DRMAA_PS_FAILED);
    run_job(preview_template("/x"), id);
    wait_for_state(id, DRMAA_PS_DONE);
}
static void ps_unknown(void) {
    int value;
    init();
    EXPECT_CODE(drmaa_job_ps("no-such-job", &value, DIAG), DRMAA_ERRNO_INVALID_JOB);
}
static void sync_timeout(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    const char *ids[] = {id, NULL};
    init();
    run_job(preview_template("/slow"), id);
    EXPECT_CODE(drmaa_synchronize(ids, DRMAA_TIMEOUT_NO_WAIT, 0, DIAG), DRMAA_ERRNO_EXIT_TIMEOUT);
    EXPECT_CODE(drmaa_synchronize(ids, 1, 0, DIAG), DRMAA_ERRNO_EXIT_TIMEOUT);
}
static void sync_dispose(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    const char *ids[] = {id, NULL};
    init();
    run_job(preview_template("/x"), id);
    EXPECT_SUCCESS(drmaa_synchronize(ids, DRMAA_TIMEOUT_WAIT_FOREVER, 0, DIAG));
    EXPECT_SUCCESS(drmaa_synchronize(ids, DRMAA_TIMEOUT_WAIT_FOREVER, 1, DIAG));
    EXPECT_CODE(drmaa_wait(id, NULL, 0, NULL, 0, NULL, DIAG), DRMAA_ERRNO_INVALID_JOB);
}
static void sync_unknown(void) {
    const char *ids[] = {"no-such-job", NULL};
    init();
    EXPECT_CODE(drmaa_synchronize(ids, 1, 0, DIAG), DRMAA_ERRNO_INVALID_JOB);
}
static void wait_twice(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    init();
    run_job(preview_template("/x"), id);
    wait_for_job(id);
    EXPECT_CODE(drmaa_wait(id, NULL, 0, NULL, DRMAA_TIMEOUT_WAIT_FOREVER, NULL, DIAG), DRMAA_ERRNO_INVALID_JOB);
}
static void wait_any(void) {
    char id[DRMAA_JOBNAME_BUFFER], other[DRMAA_JOBNAME_BUFFER];
    int stat;
    init();
    EXPECT_CODE(drmaa_wait(DRMAA_JOB_IDS_SESSION_ANY, other, sizeof other, &stat, 1, NULL, DIAG),
                DRMAA_ERRNO_INVALID_JOB);
    run_job(preview_template("/x"), id);
    EXPECT_SUCCESS(drmaa_wait(DRMAA_JOB_IDS_SESSION_ANY, other, sizeof other, &stat, 30, NULL, DIAG));
    CHECK(!strcmp(id, other));
}
static void wait_timeout(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    init();
    run_job(preview_template("/slow"), id);
    EXPECT_CODE(drmaa_wait(id, NULL, 0, NULL, DRMAA_TIMEOUT_NO_WAIT, NULL, DIAG), DRMAA_ERRNO_EXIT_TIMEOUT);
    EXPECT_CODE(drmaa_wait(id, NULL, 0, NULL, -7, NULL, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
}
static void wait_rusage(void) {
    char id[DRMAA_JOBNAME_BUFFER], value[DRMAA_ATTR_BUFFER];
    drmaa_attr_values_t *usage;
    int found = 0, stat;
    init();
    run_job(preview_template("/x"), id);
    EXPECT_SUCCESS(drmaa_wait(id, NULL, 0, &stat, 30, &usage, DIAG));
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
    jt = preview_template("/x");
    EXPECT_SUCCESS(drmaa_set_attribute(jt, DRMAA_JS_STATE, DRMAA_SUBMISSION_STATE_HOLD, DIAG));
    run_job(jt, id);
    EXPECT_SUCCESS(drmaa_control(id, DRMAA_CONTROL_TERMINATE, DIAG));
    stat = wait_for_job(id);
    CHECK(read_status(drmaa_wifaborted, stat) && !read_status(drmaa_wifexited, stat));
}
static void wait_failed(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    int stat;
    init();
    run_job(new_template("/fail", "class=sheet-publish tenant=au key=v1-fail"), id);
    stat = wait_for_job(id);
    CHECK(read_status(drmaa_wifexited, stat) && read_status(drmaa_wexitstatus, stat) == 1);
}
static void error_strings(void) {
    int code;
    for (code = 0; code <= 25; code++) CHECK(strlen(drmaa_strerror(code)) > 5);
    CHECK(drmaa_strerror(-1) && drmaa_strerror(9999));
}
static void library_information(void) {
    char text[DRMAA_CONTACT_BUFFER];
    unsigned major, minor;
    EXPECT_SUCCESS(drmaa_version(&major, &minor, DIAG));
    CHECK(major == 1 && minor == 0);
    EXPECT_SUCCESS(drmaa_get_DRM_system(text, sizeof text, DIAG));
    EXPECT_SUCCESS(drmaa_get_DRMAA_implementation(text, sizeof text, DIAG));
    init();
    EXPECT_SUCCESS(drmaa_get_contact(text, sizeof text, DIAG));
    CHECK(!strcmp(text, contact));
}
static void short_diagnosis(void) {
    char small[8] = "1234567";
    EXPECT_CODE(drmaa_init("nowhere at all", small, 4), DRMAA_ERRNO_INVALID_CONTACT_STRING);
    CHECK(strlen(small) == 3);
    EXPECT_CODE(drmaa_init("nowhere at all", NULL, 0), DRMAA_ERRNO_INVALID_CONTACT_STRING);
}
static void null_arguments(void) {
    init();
    EXPECT_CODE(drmaa_set_attribute(NULL, NULL, NULL, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    EXPECT_CODE(drmaa_run_job(NULL, 0, preview_template("/x"), DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    EXPECT_CODE(drmaa_job_ps(NULL, NULL, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    EXPECT_CODE(drmaa_wait(NULL, NULL, 0, NULL, 0, NULL, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    EXPECT_CODE(drmaa_synchronize(NULL, 0, 0, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    drmaa_release_job_ids(NULL);
}

/* Runs 20 jobs, one after the other, on a thread with its own buffer for the diagnosis. Returns NULL on success. */
static void *run_jobs(void *template) {
    char id[DRMAA_JOBNAME_BUFFER], own_diag[DRMAA_ERROR_STRING_BUFFER];
    int i, stat;
    for (i = 0; i < 20; i++)
        if (drmaa_run_job(id, sizeof id, template, own_diag, sizeof own_diag) ||
            drmaa_wait(id, NULL, 0, &stat, 30, NULL, own_diag, sizeof own_diag))
            return "failed";
    return NULL;
}
static void threads(void) {
    pthread_t thread_ids[8];
    drmaa_job_template_t *jt;
    void *failure;
    int i;
    init();
    jt = preview_template("/x");
    for (i = 0; i < 8; i++) CHECK(!pthread_create(&thread_ids[i], NULL, run_jobs, jt));
    for (i = 0; i < 8; i++) CHECK(!pthread_join(thread_ids[i], &failure) && !failure);
}

#define NAMED(name) {#name, name}
/* All checks, by their names. */
static const struct {
    const char *name;
    void (*check)(void);
} checks[] = {
    NAMED(init_twice),             NAMED(init_contact_string),    NAMED(init_after_exit),
    NAMED(exit_without_session),   NAMED(exit_keeps_jobs),        NAMED(jobs_without_session),
    NAMED(attribute_names),        NAMED(vector_attribute_names), NAMED(set_and_get),
    NAMED(unknown_attribute),      NAMED(attribute_format),       NAMED(attribute_value),
    NAMED(conflicting_attributes), NAMED(vector_attributes),      NAMED(environment_attribute),
    NAMED(email_attributes),       NAMED(run_and_wait),           NAMED(run_denied),
    NAMED(start_time),             NAMED(output_path),            NAMED(run_bulk),
    NAMED(run_bulk_indices),       NAMED(control_hold),           NAMED(control_states),
    NAMED(control_terminate),      NAMED(control_session),        NAMED(control_unknown),
    NAMED(ps_states),              NAMED(ps_unknown),             NAMED(sync_timeout),
    NAMED(sync_dispose),           NAMED(sync_unknown),           NAMED(wait_twice),
    NAMED(wait_any),               NAMED(wait_timeout),           NAMED(wait_rusage),
    NAMED(wait_aborted),           NAMED(wait_failed),            NAMED(error_strings),
    NAMED(library_information),    NAMED(short_diagnosis),        NAMED(null_arguments),
    NAMED(threads),
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
    if (argc == 4) printf("unknown check: %s\n", argv[1]);
    return argc == 4;
}
