#!/usr/bin/env node
/** tamarack: the operators' and callers' command-line client. */

import sade from "sade";
import { ask, type AskOptions, pullStep, submitStep } from "./lib/commands/callers.js";
import { showConfig, showHistory } from "./lib/commands/config.js";
import { drain } from "./lib/commands/drain.js";
import { explain } from "./lib/commands/explain.js";
import { dumpHost, showHosts, showStatus, showSteps, showTargets } from "./lib/commands/observe.js";
import {
    applyQuestionnaire,
    checkQuestionnaire,
    diffQuestionnaire,
    editQuestionnaire,
    newQuestionnaire,
} from "./lib/commands/questionnaire.js";
import { newToken } from "./lib/commands/token.js";
import { Connection } from "./lib/Connection.js";
import { printFindings } from "./lib/output.js";

interface GlobalOptions {
    readonly to?: string;
    readonly json?: boolean;
}

async function withConnection(options: GlobalOptions, run: (connection: Connection) => Promise<void>): Promise<void> {
    const connection = Connection.open(options.to);
    connection.ifLeft(printFindings);
    await connection.map(run).orDefault(Promise.resolve());
}

const isJson = (options: GlobalOptions): boolean => options.json === true;

const program = sade("tamarack")
    .version("0.1.0")
    .option("--to", "File with the hosts to connect to (tamarack.toml, or the variable TAMARACK_SETTINGS)")
    .option("--json", "Print JSON for programs");

program.command("status", "Shows the readiness, revisions in force and work of each host.")
    .action((options: GlobalOptions) => withConnection(options, to => showStatus(to, isJson(options))));
program.command("hosts", "Shows the live hosts in each host's view.")
    .action((options: GlobalOptions) => withConnection(options, to => showHosts(to, isJson(options))));
program.command("targets", "Shows every host's view of its targets.")
    .action((options: GlobalOptions) => withConnection(options, to => showTargets(to, isJson(options))));
program.command("steps", "Shows the steps and their owners.")
    .action((options: GlobalOptions) => withConnection(options, to => showSteps(to, isJson(options))));
program.command("dump <host>", "Prints the complete state of one host as JSON.")
    .action((host: string, options: GlobalOptions) => withConnection(options, to => dumpHost(to, host)));
program.command("drain <name>", "Drains a target or a host: it finishes its work and gets no more.")
    .action((name: string, options: GlobalOptions) => withConnection(options, to => drain(to, name)));

program.command("questionnaire new <file>", "Writes an empty questionnaire.")
    .action((file: string) => newQuestionnaire(file));
program.command("questionnaire check <file>", "Checks the answers of a file.")
    .action((file: string) => checkQuestionnaire(file));
program.command("questionnaire edit <name> <file>", "Writes the answers in force to a file, for editing.")
    .action((name: string, file: string, options: GlobalOptions) =>
        withConnection(options, to => editQuestionnaire(to, name, file))
    );
program.command("questionnaire diff <file>", "Shows what the answers of a file would change.")
    .action((file: string, options: GlobalOptions) =>
        withConnection(options, to => diffQuestionnaire(to, file, isJson(options)))
    );
program.command("questionnaire apply <file>", "Applies the answers of a file.")
    .action((file: string, options: GlobalOptions) =>
        withConnection(options, to => applyQuestionnaire(to, file, isJson(options)))
    );

program.command("config show <name>", "Shows the configuration in force.")
    .option("--why", "Show the questionnaire's answer that determines each value")
    .action((name: string, options: GlobalOptions & { readonly why?: boolean; }) =>
        withConnection(options, to => showConfig(to, name, options.why === true, isJson(options)))
    );
program.command("config history <name>", "Lists the earlier revisions.")
    .action((name: string, options: GlobalOptions) =>
        withConnection(options, to => showHistory(to, name, isJson(options)))
    );

program.command("submit <step> <file>", "Submits the step that a JSON file describes.")
    .action((step: string, file: string, options: GlobalOptions) =>
        withConnection(options, to => submitStep(to, step, file, isJson(options)))
    );
program.command("pull <step>", "Pulls the samples of a step into a file until the step is complete.")
    .option("--out", "File for the samples, one JSON object per line", "samples.jsonl")
    .option("--spec", "File with the step, to submit it again when a new owner needs it")
    .action((step: string, options: GlobalOptions & { readonly out: string; readonly spec?: string; }) =>
        withConnection(options, to => pullStep(to, step, options))
    );
program.command("ask <path>", "Sends one call to a service and prints the response.")
    .option("--method", "Method of the call", "GET")
    .option("--body", "JSON body of the call")
    .option("--key", "Idempotency key of the call")
    .action((path: string, options: GlobalOptions & AskOptions) =>
        withConnection(options, to => ask(to, path, options))
    );
program.command("explain <id>", "Shows the timeline of a request, job or task from log files or standard input.")
    .example("explain 9c41d07be2a35f68 --logs=entry-1.log,entry-2.log")
    .option("--logs", "Log files, separated by commas (default: standard input)")
    .action((id: string, options: GlobalOptions & { readonly logs?: string; }) =>
        explain(id, options.logs?.split(",") ?? [], isJson(options))
    );
program.command("token", "Creates a token for a caller, with its hash.")
    .action((options: GlobalOptions) => newToken(isJson(options)));

program.parse(process.argv, { unknown: flag => `The option ${flag} is not known.` });
