/** Tests of the names, labels and initial values of the metrics. */

import { type Instant } from "@tamarackpath/core";
import { expect } from "chai";
import { readFileSync } from "node:fs";
import { Metrics } from "./Metrics.js";

const page = new URL("../../../../docs/operators/metrics.md", import.meta.url);

describe("Metrics", () => {
    it("are all documented on the operators' page", () => {
        const text = readFileSync(page, "utf8");
        for (const metric of new Metrics().registry.getMetricsAsArray()) {
            expect(text, metric.name).to.include(`\`${metric.name}\``);
        }
    });

    it("start every counter with known labels at zero, so that the first increment is visible", async () => {
        const metrics = new Metrics();
        const before = await metrics.registry.metrics();
        expect(before).to.include("tamarackpath_problems_total{type=\"outcome-unknown\"} 0");
        metrics.problems.inc({ type: "outcome-unknown" });
        const afterwards = await metrics.registry.metrics();
        expect(afterwards).to.include("tamarackpath_problems_total{type=\"outcome-unknown\"} 1");
    });

    it("record an answer with its duration", async () => {
        const metrics = new Metrics();
        metrics.observeAnswer("plain", 1000 as Instant, 1250 as Instant);
        const text = await metrics.registry.metrics();
        expect(text).to.include("tamarackpath_answer_seconds_sum{kind=\"plain\"} 0.25");
        expect(text).to.include("tamarackpath_answer_seconds_count{kind=\"plain\"} 1");
    });
});
