/**
 * The conductor's machine is stopped and started again, as in a rolling restart. The edge machine that claims meanwhile
 * freezes as the answer to its claim is on its way, and wakes when the first machine conducts again.
 */

import { areReady, call, createDeployment, exitStatus, main, now, sleep, waitFor } from "../standins/lib.mjs";

const host = "ficu95.example";
const claimKey = "tamarack/live/conductor";
const stableMs = 3000;
/** Time for which an item may be at no worker, in steady state. */
const unplacedMs = 5000;
/** Time after which the trainer gives the step up. */
const stepDeadlineMs = 12_000;
const freezeMs = 3300;
const restartDelayMs = 500;
/** Time after the wake-up in which the woken process reads the open jobs, if it takes its claim for made. */
const firstReadMs = 900;

const config = {
    version: 3,
    routes: [{
        name: "r-lots",
        host,
        prefix: "/pufi791/",
        kind: "rollout",
        timeout_ms: 10_000,
        target_latency_ms: 500,
        priority: 1,
        service: "quote-llm",
        max_attempts: 3,
        queue_ttl_s: 40,
        run_target_ms: 7500,
        single_version: false,
        sticky: true,
        resumable: true,
    }],
    services: [{
        name: "quote-llm",
        health_path: "/healthz",
        max_connections: 160,
        engine: { slots: 12, kv_tokens: 80_521, models: [{ name: "m0" }] },
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 33_554_432, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
};

/** A step with 34 groups of four items, of which the trainer waits for 90%. */
function createBatch(round) {
    const id = `7c41e09b52d6a3f${round}`;
    const items = Array.from({ length: 136 }, (unused, nth) => ({
        id: `e5b2907c14da${round}${String(nth).padStart(3, "0")}`,
        path: `/pufi791/3/${nth}`,
        headers: { "Tamarackpath-Model": "m0", "Tamarackpath-Token-Usage": "1016,400" },
        body: Buffer.from(`item ${nth}`).toString("base64"),
        tokens: 1416,
        group: `g${round}-${Math.floor(nth / 4)}`,
    }));
    const text = JSON.stringify({ step: round, model: "m0", min_version: 1, target_groups: 31, items });
    return { id, items, text };
}

await main(async hasTrouble => {
    const runs = [];
    const d = await createDeployment({
        folder: import.meta.dirname,
        machines: [
            { name: "storage-leon-1", role: "storage", zone: "leon" },
            { name: "edge-leon-1", role: "entry", zone: "leon" },
            { name: "edge-qro-1", role: "entry", zone: "qro" },
        ],
        config,
        workers: [
            { id: "i-01", service: "quote-llm", zone: "leon", model: "m0" },
            { id: "i-02", service: "quote-llm", zone: "qro", model: "m0" },
        ],
        onRun: run => {
            runs.push(run);
            d.record(`worker ${run.worker.id} runs item ${run.id}`);
        },
    });
    const { record, store, servers } = d;
    servers.forEach(server => {
        server.eventGapMs = 100;
    });
    const [storage, ...edges] = d.hosts;
    /** The machine that claims by a call of the store, or undefined. */
    const claimantOf = ({ path, body, machine }) => {
        const puts = path === "/tamarackpath/kv-txn" ? JSON.parse(body.toString()).puts : [];
        return puts.some(({ key, lease }) => key === claimKey && lease) ? d.host(machine) : undefined;
    };
    let frozen;
    let wokenAt;
    let hasClaimedAgain = false;
    let isWatching = false;
    /** Whether the woken process took its claim for made. */
    let hasBegunTerm = false;
    store.intercept = async storeCall => {
        hasBegunTerm ||= wokenAt !== undefined && storeCall.machine === frozen?.name
            && storeCall.path === "/tamarackpath/kv-range" && storeCall.query.get("prefix") === "tamarack/live/";
        const claimant = isWatching ? claimantOf(storeCall) : undefined;
        if (claimant !== undefined) {
            record(`${claimant.name} claims to conduct`);
            if (claimant === storage) {
                hasClaimedAgain = true;
            }
            else if (frozen === undefined) {
                frozen = claimant;
                claimant.signal("SIGSTOP");
                setTimeout(() => {
                    claimant.signal("SIGCONT");
                    wokenAt = now();
                }, freezeMs);
            }
        }
    };
    /** Stops and starts the conductor's machine, and freezes the one that claims meanwhile. */
    const disturb = async () => {
        frozen = undefined;
        hasClaimedAgain = false;
        isWatching = true;
        storage.signal("SIGTERM");
        await storage.hasEnded;
        await sleep(restartDelayMs);
        storage.start();
        const isReady = await waitFor(() => hasClaimedAgain, 4000, 10) && frozen !== undefined;
        isWatching = false;
        await sleep(300);
        return isReady;
    };
    const playRound = async round => {
        wokenAt = undefined;
        hasBegunTerm = false;
        if (hasTrouble && !await disturb()) {
            return exitStatus.notRun;
        }
        const { id, items, text } = createBatch(round);
        const edge = edges.find(each => each !== frozen);
        const submitted = await call(edge.front, "POST", "/pufi791/7c41e0", {
            host,
            "tamarackpath-request-id": id,
            "content-type": "application/json",
        }, text);
        const submittedAt = now();
        record(`${edge.name} answers the submission of ${id} with ${submitted.status}`);
        if (submitted.status !== 202) {
            return exitStatus.notRun;
        }
        if (hasTrouble) {
            await waitFor(() => wokenAt !== undefined, freezeMs);
            if (!await waitFor(() => hasBegunTerm, firstReadMs)) {
                record("the woken process saw its call's time-out before the answer; the round is vain");
                return exitStatus.held;
            }
        }
        await sleep(submittedAt + stepDeadlineMs - now());
        const read = await call(edge.front, "GET", `/tamarackpath/lots/${id}?after=0`, { host });
        record(`${edge.name} answers a read at the step's deadline with ${read.status} ${read.body.slice(0, 40)}`);
        const steadyAt = Math.max(submittedAt, (wokenAt ?? 0) + stableMs);
        const untilAt = steadyAt + unplacedMs;
        if (untilAt > submittedAt + stepDeadlineMs) {
            return exitStatus.notRun;
        }
        const isActive = run => run.at < untilAt && (run.endedAt ?? Infinity) > steadyAt;
        const isHalfFull = runs.filter(isActive).length * 2 >= servers.length * servers[0].slots;
        const ownRuns = item => runs.filter(run => run.id === item.id);
        const unplaced = items.filter(item => !ownRuns(item).some(run => run.isFinished || isActive(run)));
        const begun = items.filter(item => ownRuns(item).length > 0);
        record(
            `${unplaced.length} unfinished items of the step were at no worker from ${steadyAt} to ${untilAt} ms;`,
            `${begun.length} items had begun`,
        );
        return unplaced.length > 0 && begun.length > 0 && !isHalfFull ? exitStatus.broken : exitStatus.held;
    };
    try {
        if (!await waitFor(() => areReady(d.hosts), 15_000)) {
            return exitStatus.notRun;
        }
        await sleep(2500);
        const rounds = hasTrouble ? 14 : 3;
        const results = [];
        // A round takes 17 s at the most, and a script 120 s.
        while (results.length < rounds && !results.includes(exitStatus.broken) && now() < 95_000) {
            results.push(await playRound(results.length));
            await call(edges[0].front, "DELETE", `/tamarackpath/lots/${createBatch(results.length - 1).id}`, { host });
        }
        return [exitStatus.broken, exitStatus.held, exitStatus.notRun].find(status => results.includes(status));
    }
    finally {
        frozen?.child.kill("SIGCONT");
        await d.stop();
    }
});
