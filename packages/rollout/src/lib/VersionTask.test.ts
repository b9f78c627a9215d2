/** Tests of when orders of weight versions are sent. */

import {
    after,
    asId,
    ConductorTerm,
    type Incarnation,
    type Instant,
    type KeyRevision,
    type LeaseId,
    RequestPermit,
    type RolloutEngines,
    type ServiceId,
    TargetDirectory,
    type TargetEntryView,
    type TargetId,
    type WeightVersion,
    type ZoneId,
} from "@tamarackpath/core";
import { expect } from "chai";
import { Right } from "purify-ts";
import { noopJournal } from "./Journal.js";
import { VersionTask } from "./VersionTask.js";

function instant(ms: number): Instant {
    return after(0 as Instant, ms);
}

const entry: TargetEntryView = {
    target: asId<TargetId>("t"),
    service: asId<ServiceId>("s"),
    address: "",
    zone: asId<ZoneId>("z"),
    slots: 1,
    leaving: false,
    incarnation: 1 as Incarnation,
    models: [{ model: "m", version: 1 as WeightVersion }],
};

describe("VersionTask", () => {
    // Guards against an order that arrives after one of the next conductor: its time counted from when it was sent, so a process
    // that was paused between the check of its lease and the order gave it the whole time anew.
    it("gives an order until the margin of the lease has passed since the check, however late it is sent", async () => {
        const term = new ConductorTerm();
        term.begin({ lease: 1 as unknown as LeaseId, fence: 1 as KeyRevision }, instant(2000), instant(0));
        let now = instant(1000);
        const calls: (() => void)[] = [];
        const deadlines: Instant[] = [];
        const engines: RolloutEngines = {
            run: async () => ({ kind: "cancelled" }),
            order: async (...args) => {
                deadlines.push(args[5]);
                return "unanswered";
            },
            report: async () =>
                Right({ isBusy: false, orders: 0, incarnation: entry.incarnation, versions: entry.models }),
            closeUnlisted: () => undefined,
        };
        const directory = new TargetDirectory();
        directory.applySnapshot([entry], instant(0));
        const task = new VersionTask(
            { changingShare: 1, changeMs: 1000 },
            "self",
            {
                directory,
                versions: new Map([["m", 2 as WeightVersion]]),
                ageMs: 0,
            },
            { term },
            { available: () => 1, take: () => new RequestPermit(entry.target, instant(Infinity)) },
            engines,
            {
                now: () => now,
                callAt: (at, run) => {
                    calls.push(run);
                    return () => undefined;
                },
            },
            noopJournal,
        );
        task.activate({
            runningAt: () => 0,
            workOf: () => 1,
            moveLongRuns: () => {
                now = instant(4000);
            },
        });
        for (let nth = 0; nth < 5 && deadlines.length === 0; nth++) {
            await new Promise(resolve => setImmediate(resolve));
            calls[nth]!();
        }
        expect(deadlines).to.deep.equal([instant(1700)]);
    });
});
