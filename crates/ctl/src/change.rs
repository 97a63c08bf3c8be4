//! The commands that change the configuration.

use std::io;

use clap::ArgMatches;
use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::KeyDigest;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_platform::OperatorChange;
use lycheedoor_platform::UpdateResult;
use lycheedoor_platform::random_nonce;
use lycheedoor_platform::update_config;

use crate::error::CtlError;
use crate::hash;

pub(crate) fn run(name: &str, command: &ArgMatches) -> Result<String, CtlError> {
    let Some((action, arguments)) = command.subcommand() else {
        return Err(CtlError::Usage("a command is missing".into()));
    };
    let change = match (name, action) {
        ("keys", action) => key_change(action, arguments)?,
        ("data-centre", action) => OperatorChange::SetDataCentre {
            data_centre: text_value(arguments, "data-centre").into(),
            state: match action {
                "out" => DataCentreState::Out,
                _ => DataCentreState::In,
            },
        },
        (_, action) => OperatorChange::SetMember {
            group: text_value(arguments, "group").into(),
            member: text_value(arguments, "member").into(),
            availability: match action {
                "leave" => MemberAvailability::Leaving,
                _ => MemberAvailability::Active,
            },
        },
    };
    let client = crate::client(arguments)?;
    let updated = update_config(&client, random_nonce(), |current| change.apply(current))?;
    Ok(render(updated))
}

fn key_change(action: &str, arguments: &ArgMatches) -> Result<OperatorChange, CtlError> {
    let workspace = text_value(arguments, "workspace").into();
    // Not parsed by clap, whose error message would quote a key that is given instead of a digest.
    let key = match arguments.get_one::<String>("digest") {
        Some(digest) => KeyDigest::try_from(digest.clone())
            .map_err(|error| CtlError::Usage(error.to_string()))?,
        None => hash::read_key(&mut io::stdin().lock())?,
    };
    Ok(match action {
        "add" => OperatorChange::AddKey { workspace, key },
        _ => OperatorChange::WithdrawKey { workspace, key },
    })
}

fn render(updated: UpdateResult) -> String {
    let version = updated.version;
    if updated.changed {
        format!("changed; configuration version {version} is published\n")
    } else {
        format!("nothing to change in configuration version {version}\n")
    }
}

fn text_value<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments
        .get_one::<String>(name)
        .map(String::as_str)
        .unwrap_or_default()
}
