// Runs mocha, tolerates the failures that KNOWN-RED.txt lists, and ends with a line "N passed, N failed". Tests in files
// named *.serial.test.ts measure whole processes: they run after all others, one at a time, but for those that KNOWN-RED.txt
// lists as slow; `npm run test:clients` runs them all.
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, rmSync } from "node:fs";

const specs = ["packages/*/src/**/*.test.ts", "apps/*/src/**/*.test.ts", "platform/src/**/*.test.ts"];
const serialSpecs = ["apps/*/src/**/*.serial.test.ts", "platform/src/**/*.serial.test.ts"];
const summaryFile = "out/test-summary.json";

/** The titles that KNOWN-RED.txt lists under `key`. */
function readTitles(key) {
    if (!existsSync("KNOWN-RED.txt")) {
        return new Set();
    }
    const lines = readFileSync("KNOWN-RED.txt", "utf8").split("\n");
    return new Set(lines.filter(line => line.startsWith(`${key}: `)).map(line => line.slice(key.length + 2).trim()));
}

/** Options of mocha that leave out the tests with these full titles. */
function leaveOut(titles) {
    const escaped = [...titles].map(title => title.replace(/[.*+?^${}()|[\]\\]/g, "\\$&"));
    return escaped.length === 0 ? [] : ["--grep", `^(${escaped.join("|")})$`, "--invert"];
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
const slow = readTitles("slow");
// A fleet of daemons leaves connections open in the process of the tests, so mocha is told to exit.
const serialRun = [...given, "--no-parallel", "--exit", ...leaveOut(slow), ...serialSpecs];
const runs = given.includes("--spec")
    ? [given]
    : [[...given, "--ignore", "**/*.serial.test.ts", ...specs], serialRun];
const summaries = runs.map(runMocha);
const passed = summaries.flatMap(summary => summary.passed);
const failed = summaries.flatMap(summary => summary.failed);
const pending = summaries.reduce((sum, summary) => sum + summary.pending, 0);
const known = readTitles("test");
const knownFailed = failed.filter(title => known.has(title));
const newFailed = failed.filter(title => !known.has(title));
for (const title of known) {
    const state = knownFailed.includes(title) ? "failed as listed" : passed.includes(title) ? "passed" : "not run";
    console.log(`KNOWN-RED (${state}): ${title}`);
}
for (const title of slow) {
    console.log(`KNOWN-RED (slow, not run): ${title}`);
}
for (const title of newFailed) {
    console.log(`FAILED: ${title}`);
}
const skipped = pending + knownFailed.length;
console.log(`${passed.length} passed, ${newFailed.length} failed${skipped > 0 ? `, ${skipped} skipped` : ""}`);
process.exit(newFailed.length > 0 || passed.length === 0 ? 1 : 0);
