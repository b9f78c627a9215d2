/** The scenario runner: lists the scenarios, or runs those with the given tags and seed. */

import { spawnSync } from "node:child_process";
import sade from "sade";
import { featureFolder } from "./lib/defineFeature.js";
import { loadFolder } from "./lib/loadScenarios.js";
import { proofMatrixText } from "./lib/proofMatrix.js";
import { matchesTags, selectionVariables } from "./lib/selection.js";
import { faultTags, promiseTags } from "./lib/tags.js";

interface RunOptions {
    readonly list?: boolean;
    readonly json?: boolean;
    readonly matrix?: boolean;
    readonly tags?: string;
    readonly seed?: number;
}

const specs = "packages/scenarios/src/features/*.test.ts";

function list(tags: readonly string[], json: boolean): void {
    const rows = loadFolder(featureFolder).filter(scenario => matchesTags(scenario.tags, tags)).map(scenario => ({
        name: scenario.name,
        promises: scenario.tags.filter(tag => (promiseTags as readonly string[]).includes(tag)),
        faults: scenario.tags.filter(tag => (faultTags as readonly string[]).includes(tag)),
    }));
    if (json) {
        console.log(JSON.stringify(rows));
        return;
    }
    rows.forEach(row => console.log(`${row.name}  ${row.promises.join(" ")} under ${row.faults.join(" ")}`));
}

function run(options: RunOptions): void {
    const res = spawnSync(process.execPath, ["node_modules/mocha/bin/mocha.js", "--spec", specs], {
        stdio: "inherit",
        env: {
            ...process.env,
            [selectionVariables.tags]: options.tags ?? "",
            [selectionVariables.seed]: String(options.seed ?? 1),
        },
    });
    process.exitCode = res.status ?? 1;
}

sade("scenarios", true)
    .describe("Lists or runs the scenarios.")
    .option("--list", "List the scenarios instead of running them")
    .option("--json", "List as JSON")
    .option("--matrix", "Print the page of proofs")
    .option("--tags", "Only scenarios with all of these tags, separated by commas")
    .option("--seed", "Seed of the run", 1)
    .action((options: RunOptions) => {
        const tags = (options.tags ?? "").split(",").filter(tag => tag !== "");
        if (options.matrix === true) {
            process.stdout.write(proofMatrixText(loadFolder(featureFolder)));
            return;
        }
        if (options.list === true) {
            list(tags, options.json === true);
            return;
        }
        run(options);
    })
    .parse(process.argv);
