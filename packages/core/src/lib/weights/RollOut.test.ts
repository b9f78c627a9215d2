/**
 * A roll-out at the size to design for, in virtual time, and the calls that all duties make to the key-value service
 * at that size, from the calls counted for single events.
 */

import { expect } from "chai";
import { applyConfig } from "../config/ConfigApply.js";
import { createConfigDraft, InMemoryKeyValue } from "../config/InMemoryKeyValue.test.js";
import {
    type ConfigRevision,
    type Instant,
    type LeaseId,
    type OperationId,
    type TargetId,
    type WeightVersion,
} from "../ids.js";
import { type CallCost, estimateKeyValueLoad } from "../keyvalue/keyValueLoad.js";
import { type KeyValue } from "../ports/KeyValue.js";
import { watchersPerZone } from "../shared/StoreReadRole.js";
import { type ConductorDecision, WeightConductor } from "./WeightConductor.js";

const designSize = {
    zones: 18,
    hosts: 1400,
    poolsPerZone: 15,
    trainers: 15,
    configChangesPerDay: 7300,
    hostRestartsPerDay: 2700,
    secondsBetweenVersions: 21 * 60,
};
const workers = 7800;
const rollOutWithinMs = 23_000;
const readsPerSecond = 2000;
const writesPerSecond = 300;
const tickMs = 200;
const leaseMs = 6000;

interface RollOut {
    readonly tookMs: number;
    readonly fewestServing: number;
    readonly calls: CallCost;
}

/** Rolls one version out over the engines of a zone, each of which swaps in `swapMs`. */
function rollOut(engines: number, swapMs: number, fetchesPerSecond: number | undefined): RollOut {
    const conductor = new WeightConductor({ minServingShare: 0.5, fetchesPerSecond });
    const targets = Array.from({ length: engines }, (unused, nth) => `engine-${nth}` as TargetId);
    const swapping = new Map<TargetId, number>();
    const done = new Set<TargetId>();
    const calls = { reads: 0, writes: 0 };
    let fewestServing = engines;
    let now = 1000 as Instant;
    const lease = { lease: "lease" as LeaseId, fence: 1 };
    const report = (target: TargetId): void => {
        const version = (done.has(target) ? 2 : 1) as WeightVersion;
        conductor.recordReport(target, { version, versionWhole: !swapping.has(target) }, now);
    };
    const handlers: { readonly [Kind in ConductorDecision["kind"]]: (decision: ConductorDecision) => void; } = {
        "acquire-lease": () => {
            calls.writes += 2;
            conductor.setLease({ ...lease, deadline: now + leaseMs as Instant });
        },
        "renew-lease": () => {
            calls.writes++;
            conductor.setLease({ ...lease, deadline: now + leaseMs as Instant });
        },
        "release-lease": () => {
            calls.writes++;
        },
        "order": decision => {
            if (decision.kind === "order" && conductor.tryStartOrder(decision, now)) {
                swapping.set(decision.target, now + swapMs);
            }
        },
    };
    conductor.setEngines(targets);
    targets.forEach(report);
    conductor.raiseDesiredVersion(2 as WeightVersion);
    for (; done.size < engines; now = now + tickMs as Instant) {
        for (const [target, until] of swapping) {
            if (until <= now) {
                swapping.delete(target);
                done.add(target);
                conductor.recordOrderEnd(target, "done", now - 1 as Instant);
            }
        }
        targets.forEach(report);
        conductor.decide(now, true).forEach(decision => handlers[decision.kind](decision));
        fewestServing = Math.min(fewestServing, engines - swapping.size);
    }
    conductor.decide(now, true).forEach(decision => handlers[decision.kind](decision));
    return { tookMs: now - 1000, fewestServing, calls };
}

async function configChangeCost(): Promise<CallCost> {
    const store = new InMemoryKeyValue();
    const apply = (base: number): Promise<unknown> =>
        applyConfig(
            store as unknown as KeyValue,
            createConfigDraft(base + 1),
            base as ConfigRevision,
            `op-${base}` as OperationId,
        );
    await apply(0);
    const before = { ...store.calls };
    await apply(1);
    return { reads: store.calls.reads - before.reads, writes: store.calls.writes - before.writes };
}

const enginesInZone = Math.ceil(workers / designSize.zones);

describe("a roll-out at the size to design for", () => {
    for (const swapMs of [1000, 4000, 8000]) {
        it(`ends within 23 s and keeps half of the engines serving when a swap takes ${swapMs} ms`, () => {
            const { tookMs, fewestServing } = rollOut(enginesInZone, swapMs, 1000 / designSize.zones);
            expect(tookMs).to.be.at.most(rollOutWithinMs);
            expect(fewestServing).to.be.at.least(enginesInZone / 2);
        });
    }

    it("finds the rate by itself within 23 s when none is configured", () => {
        expect(rollOut(enginesInZone, 1000, undefined).tookMs).to.be.at.most(rollOutWithinMs);
    });
});

describe("calls to the key-value service at the size to design for", () => {
    it("stay within the service's rates", async () => {
        const enginesInPool = Math.ceil(workers / designSize.zones / designSize.poolsPerZone);
        const load = estimateKeyValueLoad(designSize, {
            configChange: await configChangeCost(),
            hostRestart: { reads: 2, writes: 0 },
            rollOut: rollOut(enginesInPool, 8000, undefined).calls,
            versionPublished: { reads: 1, writes: 1 },
            pollRound: { reads: 2, writes: 0 },
            watchesPerWatcher: 2,
            watchersPerZone,
            pollIntervalSeconds: 1,
        });
        expect(load.readsPerSecond + load.openWatches).to.be.at.most(readsPerSecond);
        expect(load.writesPerSecond).to.be.at.most(writesPerSecond);
        if (process.env["TAMARACK_SHOW"] !== undefined) {
            console.log(
                load,
                await configChangeCost(),
                [1000, 4000, 8000].map(ms => rollOut(enginesInZone, ms, 1000 / designSize.zones)),
            );
        }
    });
});
