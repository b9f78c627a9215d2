// A mocha reporter that prints the `spec` listing and writes a JSON summary for scripts/test.mjs.
import Mocha from "mocha";
import { mkdirSync, writeFileSync } from "node:fs";

export default class SummaryReporter extends Mocha.reporters.Spec {
    constructor(runner, options) {
        super(runner, options);
        const passed = [];
        const failed = [];
        runner.on("pass", test => passed.push(test.fullTitle()));
        runner.on("fail", test => failed.push(test.fullTitle()));
        runner.once("end", () => {
            mkdirSync("out", { recursive: true });
            writeFileSync("out/test-summary.json", JSON.stringify({ passed, failed, pending: this.stats.pending }));
        });
    }
}
