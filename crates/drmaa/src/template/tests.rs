//! Unit tests of job templates.

use super::*;

fn template_with(pairs: &[(&str, &str)]) -> Template {
    let mut template = Template::default();
    for (name, value) in pairs {
        template.set(name, value).unwrap();
    }
    template
}

#[test]
fn template_is_converted_to_a_request() {
    let mut template = template_with(&[
        ("drmaa_remote_command", "/frame?n=$drmaa_incr_ph$"),
        (
            "drmaa_native_specification",
            "tenant=au key=k-$drmaa_incr_ph$ deadline=2s",
        ),
        ("drmaa_job_category", "preview"),
        ("drmaa_wd", "/tmp"),
        ("drmaa_output_path", ":$drmaa_wd_ph$/out.$drmaa_incr_ph$"),
        ("drmaa_join_files", "y"),
        ("drmaa_js_state", "drmaa_hold"),
    ]);
    template
        .set_vector("drmaa_v_argv", vec!["$drmaa_incr_ph$".into()])
        .unwrap();
    let request = template
        .to_request(&NativeSpecification::default(), true)
        .unwrap();
    assert_eq!(
        request.template.remote_command,
        "/frame?n=${PARAMETRIC_INDEX}"
    );
    assert_eq!(
        request.template.submission_key.as_deref(),
        Some("k-${PARAMETRIC_INDEX}")
    );
    assert_eq!(
        request.template.args,
        Some(vec!["${PARAMETRIC_INDEX}".to_owned()])
    );
    assert_eq!(
        (
            request.template.deadline_ms,
            request.template.submit_as_hold
        ),
        (Some(2000), true)
    );
    assert_eq!(
        request.output_path.as_deref(),
        Some("/tmp/out.$drmaa_incr_ph$")
    );
    assert_eq!(request.error_path, request.output_path);
}

#[test]
fn invalid_attributes_are_rejected_by_name() {
    let mut template = Template::default();
    let errno = |result: Result<()>| result.unwrap_err().errno;
    assert_eq!(
        errno(template.set("drmaa_wct_hlimit", "1")),
        Errno::InvalidArgument
    );
    assert_eq!(
        errno(template.set("drmaa_join_files", "maybe")),
        Errno::InvalidAttributeValue
    );
    assert_eq!(
        errno(template.set("drmaa_output_path", "/x")),
        Errno::InvalidAttributeFormat
    );
    assert_eq!(
        errno(template.set("drmaa_output_path", "far:/x")),
        Errno::InvalidAttributeFormat
    );
    assert_eq!(
        errno(template.set("drmaa_start_time", "soon")),
        Errno::InvalidAttributeFormat
    );
    assert_eq!(
        errno(template.set_vector("drmaa_v_env", vec!["x".into()])),
        Errno::InvalidAttributeFormat
    );
    let failure = |template: &Template| {
        template
            .to_request(&NativeSpecification::default(), false)
            .unwrap_err()
    };
    assert!(failure(&template).message.contains("drmaa_remote_command"));
    template.set("drmaa_remote_command", "/x").unwrap();
    assert!(failure(&template).message.contains("class"));
    template.set("drmaa_job_category", "preview").unwrap();
    template
        .set_vector("drmaa_v_email", vec!["a@b".into()])
        .unwrap();
    assert!(failure(&template).message.contains("drmaa_v_email"));
    template.set("drmaa_block_email", "1").unwrap();
    assert!(template
        .to_request(&NativeSpecification::default(), false)
        .is_ok());
}
