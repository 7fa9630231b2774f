/* A user program of the C interface. It checks each step, and exits with the number of the first step that fails. */
#include "../include/drmaa.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char diag[DRMAA_ERROR_STRING_BUFFER];

#define EXPECT(step, call, code)                                                                                    \
    do {                                                                                                            \
        int got = (call);                                                                                           \
        if (got != (code)) {                                                                                        \
            fprintf(stderr, "step %d: %s: %d (%s; %s), expected %d\n", step, #call, got, drmaa_strerror(got), diag, \
                    code);                                                                                          \
            exit(step);                                                                                             \
        }                                                                                                           \
    } while (0)
#define CHECK(step, condition)                                  \
    do {                                                        \
        if (!(condition)) {                                     \
            fprintf(stderr, "step %d: %s\n", step, #condition); \
            exit(step);                                         \
        }                                                       \
    } while (0)
#define OK(step, call) EXPECT(step, call, DRMAA_ERRNO_SUCCESS)
#define DIAG diag, sizeof diag

static drmaa_job_template_t *template_for(const char *command, const char *native) {
    drmaa_job_template_t *jt = NULL;
    OK(1, drmaa_allocate_job_template(&jt, DIAG));
    OK(2, drmaa_set_attribute(jt, DRMAA_REMOTE_COMMAND, command, DIAG));
    OK(3, drmaa_set_attribute(jt, DRMAA_NATIVE_SPECIFICATION, native, DIAG));
    return jt;
}

/* Threads that wait concurrently for any job of the session: each job must be returned to exactly one of them. */
static int jobs_returned;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void *wait_for_any(void *unused) {
    char id[DRMAA_JOBNAME_BUFFER], diagnosis[DRMAA_ERROR_STRING_BUFFER];
    int stat, got;
    (void)unused;
    while ((got = drmaa_wait(DRMAA_JOB_IDS_SESSION_ANY, id, sizeof id, &stat, 20, NULL, diagnosis,
                             sizeof diagnosis)) == 0) {
        pthread_mutex_lock(&lock);
        jobs_returned++;
        pthread_mutex_unlock(&lock);
    }
    return got == DRMAA_ERRNO_INVALID_JOB ? NULL : "unexpected error";
}

int main(int argc, char **argv) {
    char id[DRMAA_JOBNAME_BUFFER], other[DRMAA_JOBNAME_BUFFER], text[DRMAA_ATTR_BUFFER];
    const char *ids[] = {id, NULL}, *all[] = {DRMAA_JOB_IDS_SESSION_ALL, NULL};
    const char *env[] = {"A=b", NULL}, *none[] = {NULL};
    int stat, value, i;
    size_t size;
    unsigned major, minor;
    drmaa_job_template_t *jt;
    drmaa_attr_values_t *values;
    drmaa_attr_names_t *names;
    drmaa_job_ids_t *bulk;
    pthread_t threads[8];
    FILE *file;

    if (argc != 3) return 99;
    /* Calls without a session, and the start of a session. */
    OK(10, drmaa_version(&major, &minor, DIAG));
    CHECK(11, major == 1 && minor == 0);
    EXPECT(12, drmaa_run_job(id, sizeof id, NULL, DIAG), DRMAA_ERRNO_NO_ACTIVE_SESSION);
    EXPECT(13, drmaa_exit(DIAG), DRMAA_ERRNO_NO_ACTIVE_SESSION);
    EXPECT(14, drmaa_init("nowhere", DIAG), DRMAA_ERRNO_INVALID_CONTACT_STRING);
    CHECK(15, strstr(diag, "nowhere"));
    EXPECT(16, drmaa_init(NULL, DIAG), DRMAA_ERRNO_NO_DEFAULT_CONTACT_STRING_SELECTED);
    OK(17, drmaa_init(argv[1], DIAG));
    EXPECT(18, drmaa_init(argv[1], DIAG), DRMAA_ERRNO_ALREADY_ACTIVE_SESSION);
    OK(19, drmaa_get_contact(text, sizeof text, DIAG));
    CHECK(20, strcmp(text, argv[1]) == 0);
    EXPECT(21, drmaa_get_contact(text, 3, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    for (i = 0; i < 40; i++) CHECK(22, drmaa_strerror(i) && *drmaa_strerror(i));

    /* Job templates and their attributes. */
    jt = template_for("/one", "tenant=au");
    EXPECT(30, drmaa_set_attribute(jt, "drmaa_colour", "red", DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    EXPECT(31, drmaa_set_attribute(jt, DRMAA_JOIN_FILES, "perhaps", DIAG), DRMAA_ERRNO_INVALID_ATTRIBUTE_VALUE);
    EXPECT(32, drmaa_set_attribute(jt, DRMAA_START_TIME, "later", DIAG), DRMAA_ERRNO_INVALID_ATTRIBUTE_FORMAT);
    EXPECT(33, drmaa_set_attribute(NULL, DRMAA_JOB_NAME, "x", DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    EXPECT(34, drmaa_set_attribute(jt, NULL, NULL, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    EXPECT(35, drmaa_run_job(id, sizeof id, jt, DIAG), DRMAA_ERRNO_INVALID_ATTRIBUTE_VALUE);
    OK(36, drmaa_set_attribute(jt, DRMAA_JOB_CATEGORY, "preview", DIAG));
    OK(37, drmaa_get_attribute(jt, DRMAA_JOB_CATEGORY, text, sizeof text, DIAG));
    CHECK(38, strcmp(text, "preview") == 0);
    OK(39, drmaa_set_vector_attribute(jt, DRMAA_V_ENV, env, DIAG));
    EXPECT(40, drmaa_run_job(id, sizeof id, jt, DIAG), DRMAA_ERRNO_DENIED_BY_DRM);
    CHECK(41, strstr(diag, "drmaa_v_env"));
    OK(42, drmaa_get_vector_attribute(jt, DRMAA_V_ENV, &values, DIAG));
    OK(43, drmaa_get_num_attr_values(values, &size));
    OK(44, drmaa_get_next_attr_value(values, text, sizeof text));
    CHECK(45, size == 1 && strcmp(text, "A=b") == 0);
    for (i = 0; i < 3; i++)
        EXPECT(46, drmaa_get_next_attr_value(values, text, sizeof text), DRMAA_ERRNO_NO_MORE_ELEMENTS);
    drmaa_release_attr_values(values);
    OK(47, drmaa_set_vector_attribute(jt, DRMAA_V_ENV, none, DIAG));
    OK(48, drmaa_get_attribute_names(&names, DIAG));
    for (i = 0; drmaa_get_next_attr_name(names, text, sizeof text) == 0; i++) {}
    OK(49, drmaa_get_num_attr_names(names, &size));
    CHECK(50, (size_t)i == size && i >= 12);
    drmaa_release_attr_names(names);

    /* One job: its result is written to a file, and a second wait fails because the first one reaped the job. */
    snprintf(text, sizeof text, ":%s/out", argv[2]);
    OK(60, drmaa_set_attribute(jt, DRMAA_OUTPUT_PATH, text, DIAG));
    OK(61, drmaa_run_job(id, sizeof id, jt, DIAG));
    OK(62, drmaa_synchronize(ids, 20, 0, DIAG));
    OK(63, drmaa_job_ps(id, &value, DIAG));
    CHECK(64, value == DRMAA_PS_DONE);
    OK(65, drmaa_wait(id, other, sizeof other, &stat, DRMAA_TIMEOUT_WAIT_FOREVER, &values, DIAG));
    CHECK(66, strcmp(id, other) == 0);
    OK(67, drmaa_wifexited(&value, stat, DIAG));
    CHECK(68, value == 1);
    OK(69, drmaa_wexitstatus(&value, stat, DIAG));
    CHECK(70, value == 0);
    for (i = 0; drmaa_get_next_attr_value(values, text, sizeof text) == 0; i++) CHECK(71, strchr(text, '='));
    CHECK(72, i >= 3);
    drmaa_release_attr_values(values);
    EXPECT(73, drmaa_wait(id, NULL, 0, &stat, 0, NULL, DIAG), DRMAA_ERRNO_INVALID_JOB);
    EXPECT(74, drmaa_job_ps(id, &value, DIAG), DRMAA_ERRNO_INVALID_JOB);
    EXPECT(75, drmaa_control(id, DRMAA_CONTROL_TERMINATE, DIAG), DRMAA_ERRNO_INVALID_JOB);
    snprintf(text, sizeof text, "%s/out", argv[2]);
    file = fopen(text, "r");
    CHECK(76, file && fgets(text, sizeof text, file) && strcmp(text, "made /one") == 0);
    fclose(file);
    OK(77, drmaa_delete_job_template(jt, DIAG));

    /* A held job: control operations, release and termination. */
    jt = template_for("/held", "tenant=au class=preview");
    OK(80, drmaa_set_attribute(jt, DRMAA_JS_STATE, DRMAA_SUBMISSION_STATE_HOLD, DIAG));
    OK(81, drmaa_run_job(id, sizeof id, jt, DIAG));
    OK(82, drmaa_job_ps(id, &value, DIAG));
    CHECK(83, value == DRMAA_PS_USER_ON_HOLD);
    EXPECT(84, drmaa_control(id, DRMAA_CONTROL_HOLD, DIAG), DRMAA_ERRNO_HOLD_INCONSISTENT_STATE);
    EXPECT(85, drmaa_control(id, DRMAA_CONTROL_SUSPEND, DIAG), DRMAA_ERRNO_SUSPEND_INCONSISTENT_STATE);
    EXPECT(86, drmaa_control(id, DRMAA_CONTROL_RESUME, DIAG), DRMAA_ERRNO_RESUME_INCONSISTENT_STATE);
    EXPECT(87, drmaa_control(id, 9, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    EXPECT(88, drmaa_wait(id, NULL, 0, &stat, DRMAA_TIMEOUT_NO_WAIT, NULL, DIAG), DRMAA_ERRNO_EXIT_TIMEOUT);
    EXPECT(89, drmaa_synchronize(all, 1, 0, DIAG), DRMAA_ERRNO_EXIT_TIMEOUT);
    OK(90, drmaa_control(id, DRMAA_CONTROL_RELEASE, DIAG));
    OK(91, drmaa_wait(id, NULL, 0, &stat, 20, NULL, DIAG));
    OK(92, drmaa_run_job(id, sizeof id, jt, DIAG));
    OK(93, drmaa_control(DRMAA_JOB_IDS_SESSION_ALL, DRMAA_CONTROL_TERMINATE, DIAG));
    OK(94, drmaa_wait(id, NULL, 0, &stat, 20, NULL, DIAG));
    OK(95, drmaa_wifaborted(&value, stat, DIAG));
    CHECK(96, value == 1);
    OK(97, drmaa_delete_job_template(jt, DIAG));

    /* A running job that is terminated ends with a signal. */
    jt = template_for("/slow", "tenant=au class=preview");
    OK(100, drmaa_run_job(id, sizeof id, jt, DIAG));
    do {
        OK(101, drmaa_job_ps(id, &value, DIAG));
    } while (value == DRMAA_PS_QUEUED_ACTIVE);
    CHECK(102, value == DRMAA_PS_RUNNING);
    EXPECT(103, drmaa_control(id, DRMAA_CONTROL_HOLD, DIAG), DRMAA_ERRNO_HOLD_INCONSISTENT_STATE);
    OK(104, drmaa_control(id, DRMAA_CONTROL_TERMINATE, DIAG));
    OK(105, drmaa_wait(DRMAA_JOB_IDS_SESSION_ANY, other, sizeof other, &stat, 20, NULL, DIAG));
    CHECK(106, strcmp(id, other) == 0);
    OK(107, drmaa_wifsignaled(&value, stat, DIAG));
    OK(108, drmaa_wtermsig(text, sizeof text, stat, DIAG));
    CHECK(109, value == 1 && strcmp(text, "SIGTERM") == 0);
    OK(110, drmaa_delete_job_template(jt, DIAG));

    /* A job that fails ends with exit status 1. */
    jt = template_for("/failing", "tenant=au class=sheet-publish key=f");
    OK(115, drmaa_run_job(id, sizeof id, jt, DIAG));
    OK(116, drmaa_wait(id, NULL, 0, &stat, 20, NULL, DIAG));
    OK(117, drmaa_wexitstatus(&value, stat, DIAG));
    CHECK(118, value == 1);
    OK(119, drmaa_delete_job_template(jt, DIAG));

    /* Bulk jobs: index ranges, synchronization with disposal, and concurrent waits. */
    jt = template_for("/n/$drmaa_incr_ph$", "tenant=au class=preview max-parallel=4");
    EXPECT(120, drmaa_run_bulk_jobs(&bulk, jt, 5, 1, 1, DIAG), DRMAA_ERRNO_INVALID_ARGUMENT);
    OK(121, drmaa_run_bulk_jobs(&bulk, jt, 1, 9, 2, DIAG));
    OK(122, drmaa_get_num_job_ids(bulk, &size));
    CHECK(123, size == 5);
    drmaa_release_job_ids(bulk);
    OK(124, drmaa_synchronize(all, 20, 1, DIAG));
    EXPECT(125, drmaa_wait(DRMAA_JOB_IDS_SESSION_ANY, NULL, 0, &stat, 0, NULL, DIAG), DRMAA_ERRNO_INVALID_JOB);
    OK(126, drmaa_run_bulk_jobs(&bulk, jt, 1, 300, 1, DIAG));
    drmaa_release_job_ids(bulk);
    for (i = 0; i < 8; i++) CHECK(127, pthread_create(&threads[i], NULL, wait_for_any, NULL) == 0);
    for (i = 0; i < 8; i++) {
        void *end;
        CHECK(128, pthread_join(threads[i], &end) == 0 && end == NULL);
    }
    CHECK(129, jobs_returned == 300);
    OK(130, drmaa_delete_job_template(jt, DIAG));
    EXPECT(131, drmaa_wait("n0-0-0", NULL, 0, &stat, 0, NULL, DIAG), DRMAA_ERRNO_INVALID_JOB);
    OK(132, drmaa_exit(DIAG));
    EXPECT(133, drmaa_job_ps(id, &value, DIAG), DRMAA_ERRNO_NO_ACTIVE_SESSION);
    /* A second session in the same process. */
    OK(134, drmaa_init(argv[1], DIAG));
    OK(135, drmaa_exit(DIAG));
    puts("all steps passed");
    return 0;
}
