// Runs mocha, tolerates the failures that KNOWN-RED.txt lists, and ends with a line "N passed, N failed". Tests in files
// named *.serial.test.ts measure whole processes: they run after all others, one at a time.
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, rmSync } from "node:fs";

const specs = ["packages/*/src/**/*.test.ts", "apps/*/src/**/*.test.ts", "platform/src/**/*.test.ts"];
const serialSpecs = ["apps/*/src/**/*.serial.test.ts", "platform/src/**/*.serial.test.ts"];
const summaryFile = "out/test-summary.json";

function readKnownRed() {
    if (!existsSync("KNOWN-RED.txt")) {
        return new Set();
    }
    const lines = readFileSync("KNOWN-RED.txt", "utf8").split("\n");
    return new Set(lines.filter(line => line.startsWith("test: ")).map(line => line.slice("test: ".length).trim()));
}

/** Runs mocha once; undefined when it ended without a summary. */
function runMocha(given) {
    rmSync(summaryFile, { force: true });
    const args = ["node_modules/mocha/bin/mocha.js", "--reporter", "scripts/reporter.mjs", ...given];
    const { status } = spawnSync(process.execPath, args, { stdio: "inherit" });
    if (!existsSync(summaryFile)) {
        console.log("0 passed, 1 failed");
        process.exit(status || 1);
    }
    return JSON.parse(readFileSync(summaryFile, "utf8"));
}

const given = process.argv.slice(2);
const runs = given.includes("--spec")
    ? [given]
    : [[...given, "--ignore", "**/*.serial.test.ts", ...specs], [...given, "--no-parallel", ...serialSpecs]];
const summaries = runs.map(runMocha);
const passed = summaries.flatMap(summary => summary.passed);
const failed = summaries.flatMap(summary => summary.failed);
const pending = summaries.reduce((sum, summary) => sum + summary.pending, 0);
const known = readKnownRed();
const knownFailed = failed.filter(title => known.has(title));
const newFailed = failed.filter(title => !known.has(title));
for (const title of known) {
    const state = knownFailed.includes(title) ? "failed as listed" : passed.includes(title) ? "passed" : "not run";
    console.log(`KNOWN-RED (${state}): ${title}`);
}
for (const title of newFailed) {
    console.log(`FAILED: ${title}`);
}
const skipped = pending + knownFailed.length;
console.log(`${passed.length} passed, ${newFailed.length} failed${skipped > 0 ? `, ${skipped} skipped` : ""}`);
process.exit(newFailed.length > 0 || passed.length === 0 ? 1 : 0);
