//! The proxy process on a VM: validates its settings, binds its addresses and runs until it is
//! stopped.

mod cli;

use std::collections::hash_map::RandomState;
use std::fs;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::SystemTime;

use lycheedoor::Identity;
use lycheedoor::Listeners;
use lycheedoor::ObjectApiCodec;
use lycheedoor::PlatformEndpoint;
use lycheedoor::Setup;
use lycheedoor::VmDecisionLogic;
use lycheedoor::run;
use lycheedoor_core::drain::DrainSettings;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::vm::Vm;
use lycheedoor_settings::InputFile;
use lycheedoor_settings::LogFormat;
use lycheedoor_settings::VmSettings;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::init_log;
use lycheedoor_telemetry::init_metrics;
use miette::IntoDiagnostic;
use miette::WrapErr;

/// The exit code when the settings cannot be read or are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let options = cli::parse();
    let settings = match read_settings(&options) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if options.check_only {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    match run_vm(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(options: &cli::Options) -> miette::Result<VmSettings> {
    let name = options.settings_path.display().to_string();
    let text = fs::read_to_string(&options.settings_path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {name}"))?;
    let file = InputFile {
        name: &name,
        text: &text,
    };
    VmSettings::parse(file).map_err(miette::Report::from)
}

fn run_vm(settings: VmSettings) -> miette::Result<()> {
    let format = match settings.log.format {
        LogFormat::Text => lycheedoor_telemetry::LogFormat::Text,
        LogFormat::Json => lycheedoor_telemetry::LogFormat::Json,
    };
    init_log(&settings.log.filter, format).into_diagnostic()?;
    let metrics = init_metrics().into_diagnostic()?;
    let listeners = Listeners {
        callers: bind("callers", settings.listen.callers)?,
        peers: bind("peers", settings.listen.peers)?,
        operators: bind("operators", settings.listen.operators)?,
    };
    let peer_address = listeners.peers.local_addr().into_diagnostic()?;
    let identity = Identity {
        vm: settings.vm.clone(),
        incarnation: new_incarnation()?,
    };
    emit(
        &events::STARTED,
        &[
            settings.vm.as_str().into(),
            identity.incarnation.0.into(),
            settings.data_centre.as_str().into(),
        ],
    );
    println!(
        "listening on {}",
        listeners.callers.local_addr().into_diagnostic()?
    );
    let vm = Vm::new(decision_settings(&settings, &identity, peer_address));
    let setup = Setup {
        listeners,
        identity,
        platform: Some(PlatformEndpoint {
            address: settings.platform.address,
            codec: Rc::new(ObjectApiCodec),
        }),
    };
    run(setup, Box::new(VmDecisionLogic::new(vm, metrics))).into_diagnostic()?;
    emit(&events::STOPPED, &["stop requested".into()]);
    Ok(())
}

fn decision_settings(
    settings: &VmSettings,
    identity: &Identity,
    peer_address: SocketAddr,
) -> lycheedoor_core::vm::VmSettings {
    // The seed differs between VMs and between starts of a VM, so that their jitter differs.
    let seed = RandomState::new().hash_one(identity.incarnation);
    let defaults = lycheedoor_core::vm::VmSettings::new(
        settings.vm.clone(),
        identity.incarnation,
        settings.data_centre.clone(),
        peer_address,
        seed,
    );
    lycheedoor_core::vm::VmSettings {
        drain: DrainSettings {
            drain_timeout: settings.limits.drain_timeout,
            ..DrainSettings::default()
        },
        timeline_records: settings.limits.timeline_events,
        wall_start_us: identity.incarnation.0,
        ..defaults
    }
}

/// Returns a number that differs for each start of this VM: the wall clock time in microseconds
/// since the Unix epoch.
fn new_incarnation() -> miette::Result<Incarnation> {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .into_diagnostic()?;
    let micros = u64::try_from(since_epoch.as_micros()).into_diagnostic()?;
    Ok(Incarnation(micros))
}

fn bind(purpose: &str, address: SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(address).map_err(|error| {
        emit(
            &events::LISTEN_FAILED,
            &[
                purpose.into(),
                address.to_string().as_str().into(),
                error.to_string().as_str().into(),
            ],
        );
        miette::miette!("cannot listen on {address} for {purpose}: {error}")
    })
}
