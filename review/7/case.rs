//! One answer of the store to a watch is lost; later a balancer is restarted as planned.
#![allow(dead_code)]

include!("../standin-2.rs");

/// A service that operators have created before they start its servers.
const NEW_SERVICE: &str = r#",{"name":"manifests","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0}"#;

const FEEDS: usize = 40;

fn play(record: &Record) -> bool {
    let scratch = Scratch::new();
    let frontends = [
        Vm::new(1, "mvd-cerro"),
        Vm::new(2, "mvd-cerro"),
        Vm::new(3, "mvd-carrasco"),
        Vm::new(4, "mvd-lapaz"),
    ];
    // The control addresses of three machines, one in each zone.
    let seeds = [frontends[0], frontends[2], frontends[3]];
    let sides = [Vm::new(11, "mvd-cerro"), Vm::new(12, "mvd-carrasco"), Vm::new(13, "mvd-lapaz")];
    let new_side = Vm::new(14, "mvd-cerro");
    let store = Store::new(record);
    let cold = r#""warmupS":2.0,"warmupPerS":0.0"#;
    store.write("op/config", &with_services("safe", 1_000, cold, NEW_SERVICE));
    let start = |role: &str, vm: Vm| {
        Process::start(role, vm, store.address_for(vm.ip), &seeds, &scratch.0)
    };
    let mut balancers: Vec<Process> = frontends.iter().map(|&vm| start("balancer", vm)).collect();
    let _agents: Vec<Process> = sides.iter().map(|&vm| start("agent", vm)).collect();
    thread::sleep(ms(300));
    let _servers: Vec<Server> = sides
        .iter()
        .enumerate()
        .map(|(index, &vm)| Server::start(vm, &format!("i-a{index}"), Duration::ZERO, record))
        .collect();
    wait_until("the frontends are ready", ms(8_000), || frontends.iter().all(|&vm| is_ready(vm)));
    let router = Router::start(frontends[..2].to_vec(), record);
    let client = Client::start(address(100), &router, record);
    thread::sleep(ms(8_000));

    // A release begins: a new server starts first.
    if has_trouble() {
        store.lose_next_watch_answer(frontends[1].ip);
    }
    let _agent = start("agent", new_side);
    thread::sleep(ms(300));
    let impaired_at = Instant::now();
    let new_server = Server::start(new_side, "i-new", Duration::ZERO, record);
    thread::sleep(ms(1_000));
    let feeds: Vec<_> = (0..FEEDS)
        .map(|_| {
            let client = client.clone();
            thread::sleep(ms(20));
            thread::spawn(move || client.play(24, ms(250), ms(1_000)))
        })
        .collect();
    thread::sleep(ms(500));
    record.line(format!(
        "{} of {FEEDS} feeds are open at the new server",
        new_server.opened.lock().unwrap().len()
    ));

    // A planned restart of the balancer in the same zone, which is out of rotation half a second to a
    // second later: all machines are in touch again then.
    thread::sleep(ms(3_600).saturating_sub(impaired_at.elapsed()));
    record.line("SIGTERM to the first frontend's process");
    balancers[0].terminate();
    thread::sleep(ms(6_000));
    record.line("the platform ends the first frontend's process and starts it again");
    drop(balancers.remove(0));
    thread::sleep(ms(500));
    balancers.insert(0, start("balancer", frontends[0]));

    let feeds: Vec<Flow> = feeds.into_iter().map(|feed| feed.join().unwrap()).collect();
    let reset = feeds.iter().filter(|flow| matches!(flow.end, End::Reset(_)));
    let broken = reset
        .filter(|flow| new_server.has_opened(flow.address))
        .filter(|flow| match flow.end {
            End::Reset(at) => at >= impaired_at + ms(4_000),
            _ => false,
        })
        .count();
    for flow in &feeds {
        let server = if new_server.has_opened(flow.address) { "i-new" } else { "another server" };
        let end = match flow.end {
            End::Reset(_) => "reset".to_owned(),
            end => format!("{end:?}"),
        };
        record.line(format!("feed {} at {server}: {end} after {} answers", flow.address, flow.answers));
    }
    record.line(format!(
        "{broken} open flows at the new server, which lives, were reset by the system more than 4 s after the answer was lost"
    ));
    broken == 0
}

fn main() {
    run(play)
}
