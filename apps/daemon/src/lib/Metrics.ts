/** The daemon's metrics. Counters with known labels start at zero, so that the first increment is visible in rates. */

import { clientRefusals } from "@tamarackpath/adapters";
import { type Instant, keyValuePurposes, problemStatus } from "@tamarackpath/core";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const answerBuckets = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100, 300, 1000];

/** The metrics of one daemon. */
export class Metrics {
    readonly registry = new Registry();
    readonly problems = new Counter({
        name: "tamarackpath_problems_total",
        help: "Problems answered to callers, by type.",
        labelNames: ["type"],
        registers: [this.registry],
    });
    readonly samples = new Counter({
        name: "tamarackpath_samples_total",
        help: "Finished attempts at samples, by outcome.",
        labelNames: ["outcome"],
        registers: [this.registry],
    });
    readonly answers = new Histogram({
        name: "tamarackpath_answer_seconds",
        help: "Time from arrival to the whole answer, by kind of target.",
        labelNames: ["kind"],
        buckets: answerBuckets,
        registers: [this.registry],
    });
    readonly hedges = new Counter({
        name: "tamarackpath_hedges_total",
        help: "Second attempts started because the first one lagged.",
        registers: [this.registry],
    });
    readonly queued = new Gauge({
        name: "tamarackpath_queued_work",
        help: "Pieces of work that wait for a target.",
        registers: [this.registry],
    });
    readonly keyValueCalls = new Counter({
        name: "tamarackpath_key_value_calls_total",
        help: "Calls to the key-value service, by duty and outcome.",
        labelNames: ["duty", "outcome"],
        registers: [this.registry],
    });

    readonly clientsRefused = new Counter({
        name: "tamarackpath_clients_refused_total",
        help: "Requests refused and connections closed because a client exceeds the limits, by reason.",
        labelNames: ["reason"],
        registers: [this.registry],
    });

    constructor() {
        clientRefusals.forEach(reason => this.clientsRefused.inc({ reason }, 0));
        for (const duty of keyValuePurposes) {
            ["answered", "failed", "unknown", "refused"].forEach(outcome =>
                this.keyValueCalls.inc({ duty, outcome }, 0)
            );
        }
        Object.keys(problemStatus).forEach(type => this.problems.inc({ type }, 0));
        ["kept", "late", "too-old", "versions-unknown", "failed"].forEach(outcome => this.samples.inc({ outcome }, 0));
    }

    /** Records a complete answer to a caller. */
    observeAnswer(kind: "plain" | "completion", arrivedAt: Instant, answeredAt: Instant): void {
        this.answers.observe({ kind }, (answeredAt - arrivedAt) / 1000);
    }
}
