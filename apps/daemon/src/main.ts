#!/usr/bin/env node
/**
 * tamarackd: reads the settings, starts the daemon, and stops it on a signal. Any number of signals begin one stop; only a
 * second SIGINT, from a person at a terminal, forces it.
 */

import { handleStopSignals } from "@tamarackpath/adapters";
import { type Finding } from "@tamarackpath/core";
import { readFileSync } from "node:fs";
import { type Either, Left } from "purify-ts";
import sade from "sade";
import { Daemon } from "./lib/Daemon.js";
import { readSettings, type Settings } from "./lib/settings/Settings.js";
import { defaultSettingsText, settingsReferenceText } from "./lib/settings/settingsReference.js";

const exitCodes = { invalidSettings: 2, failed: 1, shutdownIncomplete: 3 } as const;

function load(file: string): Either<readonly Finding[], Settings> {
    try {
        return readSettings(file, readFileSync(file, "utf8"));
    }
    catch (err) {
        return Left([{ place: file, read: "nothing", allowed: (err as Error).message }]);
    }
}

function reportFindings(findings: readonly Finding[]): void {
    for (const { place, read, allowed } of findings) {
        console.error(`${place}: read ${read}; allowed: ${allowed}`);
    }
    process.exitCode = exitCodes.invalidSettings;
}

async function run(file: string, settings: Settings): Promise<void> {
    const secret = readFileSync(settings.security.secret_file, "utf8").trim();
    const daemon = new Daemon(settings, secret);
    const started = daemon.start();
    /** Stops once the start has ended, so that nothing begins to listen after the stop. */
    const stop = async (): Promise<void> => {
        await started;
        process.exit(await daemon.stop() ? 0 : exitCodes.shutdownIncomplete);
    };
    handleStopSignals({
        stop: () => void stop(),
        onRepeated: signal => daemon.logRepeatedStop(signal),
        cut: () => daemon.forceStop(),
    });
    process.on("SIGHUP", () => {
        load(file).caseOf({
            Left: findings => daemon.rejectSettings(findings),
            Right: next => daemon.reload(next),
        });
    });
    await started;
}

function start(file: string): void {
    load(file).caseOf({
        Left: reportFindings,
        Right: settings => {
            run(file, settings).catch(err => {
                console.error(`Cannot start the daemon: ${(err as Error).message}`);
                process.exit(exitCodes.failed);
            });
        },
    });
}

interface RunOptions {
    readonly config: string;
    readonly "print-default"?: boolean;
}

const defaultFile = "tamarackd.toml";

sade("tamarackd")
    .version("0.1.0")
    .command("run", "Runs the daemon. SIGTERM or SIGINT stops it gracefully; a second SIGINT cuts open requests.", {
        default: true,
    })
    .option("--config", "TOML file with the settings", defaultFile)
    .option("--print-default", "Print a settings file with every setting and stop")
    .action((options: RunOptions) => {
        if (options["print-default"] === true) {
            process.stdout.write(defaultSettingsText());
            return;
        }
        start(options.config);
    })
    .command("check", "Checks the settings and reports every finding.")
    .option("--config", "TOML file with the settings", defaultFile)
    .action((options: { config: string; }) => {
        load(options.config).caseOf({
            Left: reportFindings,
            Right: () => console.log("The settings are valid."),
        });
    })
    .command("reference", "Prints the settings reference as Markdown.")
    .action(() => void process.stdout.write(settingsReferenceText()))
    .parse(process.argv);
