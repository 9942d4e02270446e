//! Starts one customer's deployment as real processes on loopback.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use poplar_core::Contract;
use poplar_standins::{HttpClient, LogFaults, Relay, read_contract};

/// Number of times that each node is polled for the contract and all members at startup.
const MAX_JOIN_POLLS: u32 = 200;
/// Interval between two polls of a node at startup.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Error in starting or controlling a deployment.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DeploymentError {
    #[error("{what}: {source}")]
    Io { what: String, source: std::io::Error },
    #[error("{what} did not report that it is ready")]
    NotReady { what: String },
    #[error("{0}")]
    Contract(#[from] poplar_standins::ContractOptionError),
    #[error("{0}")]
    Http(#[from] poplar_standins::HttpError),
    #[error("a node did not learn the contract and all members within {} polls", MAX_JOIN_POLLS)]
    NotJoined,
}

/// Number and size of the targets of one service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServicePlan {
    pub(crate) service: &'static str,
    pub(crate) targets: usize,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// Service time of each target, in milliseconds.
    pub(crate) service_ms: u64,
}

/// Services and load of one customer's deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DeploymentPlan {
    pub(crate) customer: &'static str,
    pub(crate) zones: &'static [&'static str],
    /// Classes of the load and their weights, in the format of `parse_mix`.
    pub(crate) mix: &'static str,
    pub(crate) services: &'static [ServicePlan],
}

/// Deployment of Armor's four services.
pub(crate) const ARMOR: DeploymentPlan = DeploymentPlan {
    customer: "armor",
    zones: &["rennes", "brest", "lorient", "vannes"],
    mix: "read-listing=50,book-reminder=25,submit-change=15,correct-schedule=10",
    services: &[
        service_plan("reminders", 4, 160, 1_100, 4),
        service_plan("corrections", 4, 160, 1_100, 4),
        service_plan("listings", 4, 20, 230, 6),
        service_plan("archives", 5, 130, 900, 3),
    ],
};

/// Deployment of Vatuvale's four services.
pub(crate) const VATUVALE: DeploymentPlan = DeploymentPlan {
    customer: "vatuvale",
    zones: &["lautoka", "nadi", "labasa"],
    mix: "show-cover=45,find-part=30,dispatch-mechanic=15,pay-grower=10",
    services: &[
        service_plan("claims-office", 4, 260, 1_600, 4),
        service_plan("field-dispatch", 3, 340, 2_150, 4),
        service_plan("parts-counter", 3, 50, 400, 5),
        service_plan("policy-desk", 5, 200, 1_300, 3),
    ],
};

const fn service_plan(
    service: &'static str,
    targets: usize,
    slots: u32,
    connections: u32,
    service_ms: u64,
) -> ServicePlan {
    ServicePlan { service, targets, slots, connections, service_ms }
}

/// Child process, which is killed when this handle is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    /// Line that the process printed when it was ready, with `key=value` fields.
    ready: String,
}

/// Node, its target, and a relay to the node's peer address.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) service: &'static str,
    pub(crate) node: Process,
    pub(crate) target: Process,
    pub(crate) relay: Relay,
}

/// Running deployment, whose processes end when it is dropped.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) plan: DeploymentPlan,
    pub(crate) contract: Contract,
    pub(crate) instances: Vec<Instance>,
    log: Process,
    directory: PathBuf,
}

impl Process {
    fn start(program: &str, args: &[String]) -> Result<Self, DeploymentError> {
        let path = binary(program)?;
        let io = |source| DeploymentError::Io { what: program.to_owned(), source };
        let mut child = Command::new(path)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(io)?;
        let mut ready = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut ready).map_err(io)?;
        }
        if !ready.starts_with("ready ") {
            return Err(DeploymentError::NotReady { what: program.to_owned() });
        }
        Ok(Self { child, ready })
    }

    /// Value of a field of the ready line.
    pub(crate) fn field(&self, key: &str) -> String {
        let fields = self.ready.split_whitespace().filter_map(|field| field.split_once('='));
        let found = fields.into_iter().find(|(name, _)| *name == key);
        found.map(|(_, value)| value.to_owned()).unwrap_or_default()
    }

    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the signal with this name, such as `STOP`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        // A failure means that the process has already ended.
        let _ = Command::new("kill").arg(format!("-{name}")).arg(pid).status();
    }

    /// Returns whether the process has ended.
    pub(crate) fn is_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process ends; returns its exit code, or `None` if a signal ended it.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        self.child.wait().ok()?.code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A failure means that the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Deployment {
    /// Starts the log, nodes and targets, publishes the contract, and waits until every node knows
    /// the contract and all members. With `relayed`, the nodes advertise the address of their
    /// relay.
    pub(crate) async fn start(
        plan: DeploymentPlan,
        relayed: bool,
    ) -> Result<Self, DeploymentError> {
        let contract = read_contract(&contract_path(&plan))?;
        let log = Process::start("poplar-log", &[])?;
        let directory = std::env::temp_dir().join(format!("poplar-bench-{}", std::process::id()));
        let made = std::fs::create_dir_all(&directory);
        made.map_err(|source| DeploymentError::Io { what: "settings".into(), source })?;
        let mut deployment = Self { plan, contract, instances: Vec::new(), log, directory };
        for service_plan in plan.services {
            for number in 0..service_plan.targets {
                let instance = deployment.start_instance(service_plan, number, relayed).await?;
                deployment.instances.push(instance);
            }
        }
        deployment.publish().await?;
        deployment.wait_for_members().await?;
        Ok(deployment)
    }

    /// Starts an instance of a service; its settings list up to three earlier instances as peers.
    pub(crate) async fn start_instance(
        &self,
        service_plan: &ServicePlan,
        number: usize,
        relayed: bool,
    ) -> Result<Instance, DeploymentError> {
        let relay = Relay::start().await;
        let relay = relay.map_err(|source| DeploymentError::Io { what: "relay".into(), source })?;
        let name = format!("{}-{number}", service_plan.service);
        let file = self.settings_file(&name, number, relayed.then_some(relay.address))?;
        let node = Process::start("poplar-node", &["--settings".to_owned(), file])?;
        if let Ok(peer) = node.field("peer").parse() {
            relay.set_upstream(peer);
        }
        let target = self.start_target(service_plan, &node)?;
        Ok(Instance { service: service_plan.service, node, target, relay })
    }

    /// Starts the target that a node forwards calls to.
    pub(crate) fn start_target(
        &self,
        service_plan: &ServicePlan,
        node: &Process,
    ) -> Result<Process, DeploymentError> {
        let flag = |name: &str, value: String| [format!("--{name}"), value];
        let args = [
            flag("service", service_plan.service.to_owned()),
            flag("node-admin", node.field("admin")),
            flag("node-caller", node.field("caller")),
            flag("slots", service_plan.slots.to_string()),
            flag("connections", service_plan.connections.to_string()),
            flag("service-time-ms", service_plan.service_ms.to_string()),
            flag("contract", contract_path(&self.plan).display().to_string()),
        ];
        Process::start("poplar-target", &args.concat())
    }

    /// Sets the faults that the log simulates.
    pub(crate) async fn set_log_faults(&self, faults: &LogFaults) -> Result<(), DeploymentError> {
        HttpClient::default().post(&self.log.field("address"), "/control", faults).await?;
        Ok(())
    }

    /// Returns the addresses at which the nodes accept calls.
    pub(crate) fn caller_addresses(&self) -> Vec<String> {
        self.instances.iter().map(|instance| instance.node.field("caller")).collect()
    }

    /// Returns the admin addresses of the nodes.
    pub(crate) fn admin_addresses(&self) -> Vec<String> {
        self.instances.iter().map(|instance| instance.node.field("admin")).collect()
    }

    /// Returns the HTTP address of the log.
    pub(crate) fn log_address(&self) -> String {
        self.log.field("address")
    }

    /// Returns the addresses of the targets.
    pub(crate) fn target_addresses(&self) -> Vec<String> {
        self.instances.iter().map(|instance| instance.target.field("address")).collect()
    }

    fn settings_file(
        &self,
        name: &str,
        number: usize,
        advertised: Option<SocketAddr>,
    ) -> Result<String, DeploymentError> {
        let path = self.directory.join(format!("{name}.yaml"));
        let zone = self.plan.zones[number % self.plan.zones.len()];
        let peers: Vec<_> = self.instances.iter().take(3).map(|i| i.node.field("peer")).collect();
        let advertised = advertised.map(|address| address.to_string()).unwrap_or_default();
        let text = format!(
            "instance: {name}\ncustomer: {}\nzone: {zone}\ncaller_address: 127.0.0.1:0\n\
             peer_address: 127.0.0.1:0\nadmin_address: 127.0.0.1:0\nlog_address: {}\n\
             peers: [{}]\nadvertised_address: [{advertised}]\n",
            self.plan.customer,
            self.log.field("address"),
            peers.join(", "),
        );
        let written = std::fs::write(&path, text);
        written.map_err(|source| DeploymentError::Io { what: name.to_owned(), source })?;
        Ok(path.display().to_string())
    }

    async fn publish(&self) -> Result<(), DeploymentError> {
        let record = serde_json::json!({
            "kind": "publish",
            "id": format!("{:032x}", 1),
            "base": 0,
            "contract": self.contract,
        });
        let log = self.log.field("address");
        HttpClient::default().post(&log, "/streams/contracts/records", &record).await?;
        Ok(())
    }

    /// Waits until every node has a contract in force and knows all members.
    async fn wait_for_members(&self) -> Result<(), DeploymentError> {
        let http = HttpClient::default();
        for instance in &self.instances {
            let admin = instance.node.field("admin");
            let mut joined = false;
            for _ in 0..MAX_JOIN_POLLS {
                let state: serde_json::Value = http.get(&admin, "/state").await?.json()?;
                if self.has_all_members(&state) {
                    joined = true;
                    break;
                }
                tokio::time::sleep(JOIN_POLL_INTERVAL).await;
            }
            if !joined {
                return Err(DeploymentError::NotJoined);
            }
        }
        Ok(())
    }

    fn has_all_members(&self, state: &serde_json::Value) -> bool {
        let rows = state["directory"].as_array().map(Vec::as_slice).unwrap_or_default();
        let serving = rows.iter().filter(|row| row["state"] == "serving").count();
        let in_force = state["contracts"]["in_force"].as_array().is_some_and(|c| !c.is_empty());
        in_force && serving >= self.instances.len()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // The settings files are of no use without the processes; a leftover directory is harmless.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the path of a program of this workspace, in the directory of the running program.
pub(crate) fn binary(program: &str) -> Result<PathBuf, DeploymentError> {
    let current = std::env::current_exe();
    let current =
        current.map_err(|source| DeploymentError::Io { what: program.to_owned(), source })?;
    Ok(current.with_file_name(program))
}

/// Returns the path of the customer's contract in the `examples` directory.
pub(crate) fn contract_path(plan: &DeploymentPlan) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    root.join("examples").join(format!("{}.yaml", plan.customer))
}
