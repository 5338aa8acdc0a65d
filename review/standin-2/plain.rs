//! A replica of a plain service. Its answers have no length and end with their channels.

use std::net::TcpListener;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::serve;
use crate::http::Connection;

/// The pause between the two halves of an answer: the work of the slowest requests of the site.
const HALF_PAUSE: Duration = Duration::from_millis(200);

/// Returns the whole body of the answer to a request.
pub fn whole_body(id: &str) -> String {
    let lines = (0..40).map(|line| format!("line {line} of {id}\n"));
    lines.collect::<String>() + "end\n"
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// Returns the entry of a replica in the store.
pub fn row(service: &str, address: &str, zone: &str, born: u128, state: &str) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"{state}","coldRemainingMs":0,"sequence":0,"born":{born}}}"#
    )
}

/// Serves as one start of a replica: `replica ADDRESS ID SERVICE`.
pub fn serve_process(args: &[String]) {
    let (address, id, service) = (&args[0], args[1].clone(), args[2].clone());
    let listener = TcpListener::bind(address).expect("the replica's address is free");
    println!("replica {id} of {service} serves at {address}");
    serve(listener, move |connection| answer_all(connection, &id, &service));
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn answer_all(mut connection: Connection, id: &str, service: &str) {
    while let Ok(Some(request)) = connection.read_request() {
        let expected = request.head.header("expect-replica");
        let path = request.path().to_owned();
        let is_over = if expected.is_some_and(|expected| expected != id) {
            connection.respond("421 Misdirected Request", &[("Replica-Id", id)], "").is_err()
        } else if path == "/healthz" {
            connection.respond("200 OK", &[("Replica-Id", id)], "").is_err()
        } else {
            let attempt = request.head.header("attempt-id").unwrap_or_default().to_owned();
            println!("runs attempt={attempt} service={service} replica={id}");
            let body = whole_body(&attempt);
            let (first, second) = body.split_at(body.len() / 2);
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {service}.{attempt}\r\n\
                 Connection: close\r\n\r\n"
            );
            let _ = connection.write((head + first).as_bytes());
            thread::sleep(HALF_PAUSE);
            let _ = connection.write(second.as_bytes());
            true
        };
        if is_over {
            return;
        }
    }
}
