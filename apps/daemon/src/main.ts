#!/usr/bin/env node
/** tamarackd: reads the settings, starts the daemon, and stops it on a signal; a second signal forces the shutdown. */

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
    let signals = 0;
    const onSignal = (): void => {
        signals++;
        if (signals > 1) {
            daemon.forceStop();
            return;
        }
        void daemon.stop().then(isWhole => process.exit(isWhole ? 0 : exitCodes.shutdownIncomplete));
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
    process.on("SIGHUP", () => {
        load(file).caseOf({
            Left: findings => daemon.rejectSettings(findings),
            Right: next => daemon.reload(next),
        });
    });
    await daemon.start();
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
    .command("run", "Runs the daemon.", { default: true })
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
