//! Help texts of the tool and its commands.

/// Help of the whole tool.
pub const TOOL: &str = "\
sassafrasmast: operates a fleet of the sassafrasmast load balancer

USAGE:
    sassafrasmast COMMAND [OPTIONS]

COMMANDS:
    plan          works out what an intent would change; changes nothing
    confirm       puts a plan in force
    status        shows zones, services, upstreams and balancers
    timeline      shows the events of all processes in one order
    replay        replays a recorded timeline through the decision logic
    explain       shows the history of one flow from logs
    config check  checks files of settings, routes and changes before they are used
    certificate   makes a certificate for development

OPTIONS:
    --api ADDR    address of a balancer's API; may be given several times, tried in turn
                  (default: the list in SASSAFRASMAST_API, separated by commas)
    --json        prints JSON
    --version     prints the version
    --help        prints help; each command has its own

EXIT CODES:
    0  done
    1  failed or refused; the message says why
    2  bad arguments or a bad file
    3  conflict: another plan came first; plan anew
    4  no balancer answers or has a configuration, or the store is down or behind;
       nothing was changed
    5  unsettled: the plan may or may not be in force; confirm it again to learn which
    6  partly: some processes did not answer, or did not report the version in time
";

/// Help of `plan`.
pub const PLAN: &str = "\
sassafrasmast plan: works out what an intent would change; changes nothing

USAGE:
    sassafrasmast plan INTENT [--out FILE] [--json] [--api ADDR]...

INTENTS:
    add-zone ZONE            adds an availability zone
    zone-out ZONE            takes a zone out: no packet goes there, its flows end
    zone-in ZONE             brings a zone back
    remove-zone ZONE         removes a zone without upstreams
    create-service NAME --address ADDR [--feed PATH]... [--deadline-ms N] [--max-body-bytes N]
                             creates a service; --feed: path prefix whose answers are long-lived
                             streams
    set-service NAME ...     replaces the rules of a service; options as above
    remove-service NAME      removes a service without upstreams
    admit AGENT...           admits announced upstreams by the address of their agent
    admit --all              admits all announced upstreams
    drain ID...              gives upstreams no new work; open work is finished
    undrain ID...            gives them new work again
    remove ID...             removes upstreams
    rotate-key               adds a key; a second run later makes it seal new connection ids and
                             tickets
    remove-key PHASE         removes a key that no longer seals connection ids and tickets
    changes FILE             a JSON list of changes, as the API takes them

OPTIONS:
    --out FILE    writes the plan to a file for `sassafrasmast confirm`
    --json        prints the plan as JSON
";

/// Help of `confirm`.
pub const CONFIRM: &str = "\
sassafrasmast confirm: puts a plan in force

USAGE:
    sassafrasmast confirm FILE [--operation ID] [--wait SECONDS] [--json] [--api ADDR]...

FILE is a plan written by `sassafrasmast plan --out`; `-` reads standard input. Confirming the
same plan again is harmless and settles whether it is in force.

OPTIONS:
    --operation ID    names this confirm (default: the plan's id)
    --wait SECONDS    time to wait until all processes report the version (default: 15; 0: none)
";

/// Help of `status`.
pub const STATUS: &str = "\
sassafrasmast status: shows zones, services, upstreams and balancers

USAGE:
    sassafrasmast status [--json] [--api ADDR]...
    sassafrasmast status [--json] --process ADDR...

OPTIONS:
    --process ADDR    a process of flow forwarding, by its metrics address; may be given several
                      times. Shows its version, flows, upstreams and contact with the store
                      and with other processes.
";

/// Help of `timeline`.
pub const TIMELINE: &str = "\
sassafrasmast timeline: shows the events of all processes in one order

USAGE:
    sassafrasmast timeline [--process ADDR]... [--out FILE] [--json] [--api ADDR]...

OPTIONS:
    --process ADDR    only the process that listens on this address (frames and peer calls); may be
                      given several times
    --out FILE        writes JSON lines to a file, as `sassafrasmast replay` reads them
    --json            prints JSON lines
";

/// Help of `replay`.
pub const REPLAY: &str = "\
sassafrasmast replay: replays a recorded timeline through the decision logic

USAGE:
    sassafrasmast replay FILE [--json]
";

/// Help of `explain`.
pub const EXPLAIN: &str = "\
sassafrasmast explain: shows the history of one flow from the logs of several processes

USAGE:
    sassafrasmast explain FLOW LOG...

FLOW is the client's address and port, as in 100.64.0.7:40001, or the whole flow as logs name it,
CLIENT>ROUTE. Lines may have a prefix, as log collectors add it.
";

/// Help of `config`.
pub const CONFIG: &str = "\
sassafrasmast config check: checks files before they are used

USAGE:
    sassafrasmast config check FILE... [--format text|json] [--strict]
    sassafrasmast config check FILE --against OTHER [--format text|json] [--strict]
    sassafrasmast config check FILE --against in-force --process ADDR...
    sassafrasmast config check FILE --against in-force --api ADDR...

A FILE holds settings of the daemon, settings that the users' platform gives a process of flow
forwarding, or is one of the deploy/ directory: system.toml, or a day file in days/ (plan and
faults of one day). Or it is the platform's document of routes, services and limits, or a list of
changes for `sassafrasmast plan changes`, both JSON. What it is follows from its contents. Errors
name the file, the key and the reason; those in JSON files also line and column, and all of them are
reported.

OPTIONS:
    --against OTHER   shows what differs from another file of the same kind, and what becomes of
                      open flows
    --against in-force
                      compares with the configuration in force: a document with that of the first
                      process that answers, a list of changes by planning it
    --process ADDR    a process of flow forwarding, by its metrics address
    --api ADDR        a balancer's API (default: the list in SASSAFRASMAST_API)
    --format json     prints one JSON object for each file
    --strict          exits with 1 if there are warnings

EXIT CODES:
    0  no errors
    1  warnings, with --strict
    2  bad arguments, or errors in a file
    4  no process answers for --against in-force; everything else was checked
";

/// Help of `certificate`.
pub const CERTIFICATE: &str = "\
sassafrasmast certificate: makes a self-signed certificate for development

USAGE:
    sassafrasmast certificate --host NAME... --out DIR

Writes DIR/certificate.pem and DIR/key.pem. NAME is a host name or an IP address; several may be
given.
";
