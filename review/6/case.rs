//! Desired states come in quick succession while servers are released and a balancer is restarted as
//! planned. Nothing fails.
#![allow(dead_code)]

include!("../standin-2.rs");

/// A service that operators have created before they start its servers.
const NEW_SERVICE: &str = r#",{"name":"manifests","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0}"#;

const COLD: &str = r#""warmupS":2.0,"warmupPerS":0.0"#;

/// Routes that see no traffic: 110 of the site, and six times the 350 by which the desired state grows.
const IDLE_ROUTES: usize = 2_210;

/// Pause between desired states, and for how long they come.
const STORM_GAP: Duration = ms(330);
const STORM_TIME: Duration = ms(4_000);

const FEEDS: usize = 100;

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
    let sides: Vec<Vm> = [(11, "mvd-cerro"), (12, "mvd-carrasco"), (13, "mvd-lapaz")]
        .into_iter()
        .chain([(14, "mvd-cerro"), (15, "mvd-carrasco"), (16, "mvd-lapaz")])
        .map(|(number, zone)| Vm::new(number, zone))
        .collect();
    let store = Store::new(record);
    let configure = |version| {
        let document = with_routes(version, 1_000, COLD, NEW_SERVICE, IDLE_ROUTES);
        store.write("op/config", &document);
    };
    configure(7);
    let start = |role: &str, vm: Vm| {
        Process::start(role, vm, store.address_for(vm.ip), &seeds, &scratch.0)
    };
    let mut balancers: Vec<Process> = frontends.iter().map(|&vm| start("balancer", vm)).collect();
    let mut agents: Vec<Process> = sides.iter().map(|&vm| start("agent", vm)).collect();
    thread::sleep(ms(300));
    let mut servers: Vec<Server> = sides
        .iter()
        .enumerate()
        .map(|(index, &vm)| Server::start(vm, &format!("i-a{index}"), Duration::ZERO, record))
        .collect();
    wait_until("the frontends are ready", ms(8_000), || frontends.iter().all(|&vm| is_ready(vm)));
    let router = Router::start(frontends[..2].to_vec(), record);
    let client = Client::start(address(100), &router, record);
    thread::sleep(ms(8_000));

    // Feeds come and go all the time.
    let is_over = Arc::new(AtomicBool::new(false));
    let feeds: Vec<_> = (0..FEEDS)
        .map(|index| {
            let (client, is_over) = (client.clone(), Arc::clone(&is_over));
            thread::sleep(ms(15));
            thread::spawn(move || {
                let mut flows = Vec::new();
                while !is_over.load(Ordering::Relaxed) {
                    flows.push(client.play(8 + index % 9, ms(80), ms(1_000)));
                }
                flows
            })
        })
        .collect();
    thread::sleep(ms(1_500));

    let mut version = 7;
    let mut number = 20;
    for round in 0..6_u64 {
        record.line(format!("round {round}"));
        let began = Instant::now();
        let mut stopped_at = None;
        let mut released = 0;
        while began.elapsed() < STORM_TIME {
            if has_trouble() {
                version += 1;
                configure(version);
            }
            // New servers of a release start first, the next one each 0.3 s.
            if began.elapsed() >= ms(1_300) + ms(300) * released && released < 6 {
                released += 1;
                let vm = Vm::new(number, ["mvd-cerro", "mvd-carrasco", "mvd-lapaz"][number as usize % 3]);
                number += 1;
                agents.push(start("agent", vm));
                thread::sleep(ms(60));
                servers.push(Server::start(vm, &format!("i-r{number}"), Duration::ZERO, record));
            }
            if stopped_at.is_none() && began.elapsed() >= ms(1_450 + 70 * round) {
                record.line("SIGTERM to the first frontend's process");
                balancers[0].terminate();
                stopped_at = Some(Instant::now());
            }
            thread::sleep(STORM_GAP);
        }
        let stopped_at = stopped_at.unwrap_or(began);
        thread::sleep(ms(6_000).saturating_sub(stopped_at.elapsed()));
        record.line("the platform ends the first frontend's process and starts it again");
        drop(balancers.remove(0));
        thread::sleep(ms(500));
        balancers.insert(0, start("balancer", frontends[0]));
        thread::sleep(ms(3_000));
    }
    is_over.store(true, Ordering::Relaxed);
    let feeds = feeds.into_iter().flat_map(|feed| feed.join().unwrap());
    let mut broken = 0;
    let mut all = 0;
    for flow in feeds {
        all += 1;
        let End::Reset(at) = flow.end else { continue };
        let server = servers.iter().find(|server| server.has_opened(flow.address));
        let Some(server) = server else { continue };
        broken += 1;
        let at = at.duration_since(record.started).as_secs_f64();
        record.line(format!(
            "flow {} at {}, which lives, was reset at {at:.3} after {} answers",
            flow.address, server.announcer.id, flow.answers
        ));
    }
    record.line(format!("{broken} of {all} flows were reset by the system while their servers lived"));
    broken == 0
}

fn main() {
    run(play)
}
