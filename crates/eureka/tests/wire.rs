//! Tests of reading a registry's responses: complete, in chunks, truncated, hostile and mutated.

use flate2::{write::GzEncoder, Compression};
use marbledeck_dispatcher::{CellId, Micros};
use marbledeck_eureka::*;
use marbledeck_membership::Status;
use proptest::prelude::*;
use std::io::Write;

const JSON: &str = r#"{"applications":{"versions__delta":"1","apps__hashcode":"UP_2_OUT_OF_SERVICE_1_","application":[
{"name":"RENDER","instance":[
 {"instanceId":"h1:render:8000","hostName":"h1","app":"RENDER","ipAddr":"127.0.0.1","status":"UP",
  "overriddenstatus":"UNKNOWN","port":{"$":8000,"@enabled":"true"},"securePort":{"$":443,"@enabled":"false"},
  "countryId":1,"dataCenterInfo":{"@class":"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo","name":"MyOwn"},
  "leaseInfo":{"renewalIntervalInSecs":30,"serviceUpTimestamp":1416441443000},
  "metadata":{"@class":"java.util.Collections$EmptyMap","zone":"east","worker":"w1","rack":"7","odd":"}]\"{\\"},
  "vipAddress":"render","lastDirtyTimestamp":"1416441443001","actionType":"ADDED"},
 {"instanceId":"h2:render:8000","app":"RENDER","ipAddr":"127.0.0.2","status":"UP","overriddenStatus":"OUT_OF_SERVICE",
  "port":{"$":"8001","@enabled":true},"metadata":{},"lastDirtyTimestamp":7}]},
{"name":"OTHER","instance":{"hostName":"h3","app":"OTHER","ipAddr":"no address","status":"SLEEPING","port":0}}]}}"#;

const XML: &str = r#"<?xml version="1.0"?><!-- <instance> --><applications>
<versions__delta>1</versions__delta><apps__hashcode>UP_2_OUT_OF_SERVICE_1_</apps__hashcode>
<application><name>RENDER</name>
<instance><instanceId>h1:render:8000</instanceId><hostName>h1</hostName><app>RENDER</app><ipAddr>127.0.0.1</ipAddr>
<status>UP</status><overriddenstatus>UNKNOWN</overriddenstatus><port enabled="true">8000</port>
<securePort enabled="false">443</securePort><countryId>1</countryId>
<dataCenterInfo class="com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo"><name>MyOwn</name></dataCenterInfo>
<leaseInfo><renewalIntervalInSecs>30</renewalIntervalInSecs><serviceUpTimestamp>1416441443000</serviceUpTimestamp></leaseInfo>
<metadata><zone>east</zone><worker>w1</worker><rack>7</rack><odd><![CDATA[</instance>]]></odd></metadata>
<vipAddress>render</vipAddress><lastDirtyTimestamp>1416441443001</lastDirtyTimestamp><actionType>ADDED</actionType></instance>
<instance><instanceId>h2:render:8000</instanceId><app>RENDER</app><ipAddr>127.0.0.2</ipAddr><status>UP</status>
<overriddenstatus>OUT_OF_SERVICE</overriddenstatus><port enabled="true">8001</port><metadata/>
<lastDirtyTimestamp>7</lastDirtyTimestamp></instance></application>
<application><name>OTHER</name><instance><hostName>h3</hostName><app>OTHER</app><ipAddr>no address</ipAddr>
<status>SLEEPING</status></instance></application></applications>"#;

/// Reads a response in chunks of this length.
fn read(
    format: ResponseFormat,
    encoding: Encoding,
    bytes: &[u8],
    chunk_length: usize,
) -> Result<Vec<ResponseItem>, ResponseError> {
    let mut reader = ResponseReader::new(format, encoding);
    let mut items = Vec::new();
    for chunk in bytes.chunks(chunk_length.max(1)) {
        items.extend(reader.push(chunk)?);
    }
    items.extend(reader.finish()?);
    Ok(items)
}

fn compress(text: &str) -> Vec<u8> {
    let mut gzip = GzEncoder::new(Vec::new(), Compression::fast());
    gzip.write_all(text.as_bytes()).unwrap();
    gzip.finish().unwrap()
}

fn keys() -> MetadataKeys {
    MetadataKeys {
        id: Some("worker".to_owned()),
        zone: Some("zone".to_owned()),
        rack: Some("rack".to_owned()),
        ..MetadataKeys::default()
    }
}

/// Both formats give the same instances, whatever the chunk length and the encoding.
#[test]
fn json_and_xml_give_the_same_instances() {
    for (format, text) in [(ResponseFormat::Json, JSON), (ResponseFormat::Xml, XML)] {
        let whole = read(format, Encoding::Plain, text.as_bytes(), usize::MAX).unwrap();
        assert_eq!(whole.len(), 4, "{format:?}");
        assert_eq!(
            whole[0],
            ResponseItem::Hash("UP_2_OUT_OF_SERVICE_1_".to_owned())
        );
        let instances: Vec<&Instance> = whole
            .iter()
            .filter_map(|item| match item {
                ResponseItem::Instance(instance) => Some(&**instance),
                ResponseItem::Hash(_) => None,
            })
            .collect();
        let report = instances[0].source_report(&keys());
        assert_eq!(
            (report.id.as_str(), report.status, report.zone.as_str()),
            ("w1", Status::Up, "east")
        );
        assert_eq!(report.address, Some("127.0.0.1:8000".parse().unwrap()));
        assert_eq!(
            (report.cell, report.version),
            (Some(CellId(7)), 1_416_441_443_001)
        );
        assert_eq!(report.started_at, Some(Micros(1_416_441_443_000_000)));
        assert_eq!(instances[0].secure_port, None);
        let report = instances[1].source_report(&keys());
        assert_eq!(
            (report.id.as_str(), report.status),
            ("h2:render:8000", Status::OutOfService)
        );
        let report = instances[2].source_report(&keys());
        assert_eq!(
            (report.id.as_str(), report.status, report.address),
            ("h3", Status::Unknown, None)
        );
        for chunk_length in 1..80 {
            assert_eq!(
                read(format, Encoding::Plain, text.as_bytes(), chunk_length).as_ref(),
                Ok(&whole)
            );
        }
        for chunk_length in [1, 7, 4096] {
            assert_eq!(
                read(format, Encoding::Gzip, &compress(text), chunk_length).as_ref(),
                Ok(&whole)
            );
        }
    }
}

/// A response that is truncated at any byte is an error.
#[test]
fn responses_truncated_at_every_byte() {
    for (format, text) in [(ResponseFormat::Json, JSON), (ResponseFormat::Xml, XML)] {
        for end in 0..text.len() {
            assert!(
                read(format, Encoding::Plain, &text.as_bytes()[..end], 64).is_err(),
                "{format:?} {end}"
            );
        }
        let compressed = compress(text);
        for end in 0..compressed.len() {
            assert!(
                read(format, Encoding::Gzip, &compressed[..end], 64).is_err(),
                "{format:?} {end}"
            );
        }
    }
}

/// Responses that are nested too deeply, too long, malformed or decompression bombs are rejected.
#[test]
fn hostile_responses_are_rejected() {
    let json = |text: &str| {
        read(ResponseFormat::Json, Encoding::Plain, text.as_bytes(), 4096).unwrap_err()
    };
    let xml =
        |text: &str| read(ResponseFormat::Xml, Encoding::Plain, text.as_bytes(), 4096).unwrap_err();
    assert_eq!(json(&"[".repeat(100_000)), ResponseError::TooDeep);
    assert_eq!(xml(&"<a>".repeat(100_000)), ResponseError::TooDeep);
    let long = "x".repeat(70_000);
    assert_eq!(
        json(&format!(r#"{{"instance":{{"instanceId":"{long}"}}}}"#)),
        ResponseError::TooLong
    );
    assert_eq!(
        xml(&format!(
            "<a><instance><instanceId>{long}</instanceId></instance></a>"
        )),
        ResponseError::TooLong
    );
    let with_entity = r#"<!DOCTYPE a [<!ENTITY x "xxxxxxxx">]><a><instance><instanceId>&x;</instanceId></instance></a>"#;
    assert!(matches!(xml(with_entity), ResponseError::Malformed(_)));
    assert!(matches!(
        xml("<a><instance><instanceId>&lol;</instanceId></instance></a>"),
        ResponseError::Malformed(_)
    ));
    for invalid in [
        "",
        "{",
        "nonsense",
        "{}{}",
        "[}",
        r#"{"instance":{"instanceId":""}}"#,
        r#"{"instance":{"a":1e}}"#,
    ] {
        assert!(
            read(ResponseFormat::Json, Encoding::Plain, invalid.as_bytes(), 9).is_err(),
            "{invalid}"
        );
    }
    let many = format!(
        "[{}]",
        vec![r#"{"instance":{"instanceId":"i","port":99999999999999999999}}"#; 70_000].join(",")
    );
    assert_eq!(json(&many), ResponseError::TooMany);
    // 70 MiB of spaces, over the limit of 64 MiB, compressed to less than 1 MiB.
    let bomb = compress(&format!("[{}]", " ".repeat(70 << 20)));
    assert!(bomb.len() < 1 << 20);
    assert_eq!(
        read(ResponseFormat::Json, Encoding::Gzip, &bomb, 1 << 16),
        Err(ResponseError::TooLong)
    );
    assert!(read(ResponseFormat::Json, Encoding::Gzip, b"not gzip at all", 4).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// No mutation of a response causes a panic.
    #[test]
    fn mutated_responses_do_not_panic(is_xml in any::<bool>(), chunk_length in 1..500usize, mutations in proptest::collection::vec((0..4000usize, any::<u8>()), 0..8)) {
        let (format, text) = if is_xml { (ResponseFormat::Xml, XML) } else { (ResponseFormat::Json, JSON) };
        let mut bytes = text.as_bytes().to_vec();
        for (index, byte) in mutations {
            let index = index % bytes.len();
            match byte % 3 {
                0 => drop(bytes.remove(index)),
                1 => bytes.insert(index, byte),
                _ => bytes[index] = byte,
            }
        }
        let _ = read(format, Encoding::Plain, &bytes, chunk_length);
    }
}
