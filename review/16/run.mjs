/**
 * The conductor is stopped as planned, shortly after a configuration has removed the route of an open batch submission.
 * Checks that the items of the submission are still run, or listed as given up.
 */

import { join } from "node:path";
import { configOf, endSubmission, readResults, submissionOf, submit } from "../standins-4/config.mjs";
import { Bench, sleep, startHosts, Store } from "../standins-4/lib.mjs";
import { ModelWorker } from "../standins-4/worker.mjs";

/** Milliseconds that the trainer waits for a step: the deadline of the deployment's sheet. */
const stepMs = 12_000;

/** Milliseconds of steady state for which an unfinished item may be at no worker. */
const maxIdleMs = 5000;

/** Milliseconds without impairment after which the state is steady (`stable_ms`). */
const stableMs = 3000;

const itemCount = 24;

const bench = new Bench(join(import.meta.dirname, "record.txt"));
const store = await new Store(bench).listen();
store.write("op/config", configOf(1));
const workers = await Promise.all(["za", "zb"].map(zone =>
    new ModelWorker(bench, store, {
        id: `i-${zone}`,
        service: "models",
        zone,
        events: 40,
        eventMs: 50,
        slots: 4,
    }).start()
));
const { hosts, restart } = await startHosts(bench, store, [
    { name: "edge-1", zone: "za" },
    { name: "edge-2", zone: "zb" },
    { name: "storage-1", zone: "za", role: "storage" },
    { name: "storage-2", zone: "zb", role: "storage" },
]);
const [edge1, edge2] = hosts;
await sleep(5000);

const items = Array.from({ length: itemCount }, (unused, nth) => ({ id: `item-${nth}`, group: `g${nth >> 2}` }));
const answer = await submit(edge1.front, "step-0", submissionOf({ items }));
const submittedAt = Date.now();
bench.log(`trainer: submission of ${itemCount} items, answered ${answer.status ?? answer.error}`);
if (answer.status !== 202) {
    await bench.end(2, "the submission was not accepted");
}

await sleep(100);
const next = configOf(2);
next.routes.find(({ name }) => name === "drafts").prefix = "/plans/";
bench.log(
    `operator: version 2 without the route, acknowledged at revision ${store.write("op/config", next).body.revision}`,
);
await sleep(300);

let steadyFrom = Date.now() + stableMs;
if (bench.hasTrouble) {
    const claim = store.read("tamarack/live/conductor")?.toString("latin1") ?? "";
    const conductor = hosts.find(({ ip }) => claim.includes(`${ip}:`));
    if (conductor === undefined) {
        await bench.end(2, "no conductor is known");
    }
    const ended = new Promise(done => conductor.child.once("exit", done));
    conductor.signal("SIGTERM");
    await ended;
    await sleep(300);
    conductor.start(restart);
    steadyFrom = Date.now() + stableMs;
}

const listed = new Map();
while (Date.now() < submittedAt + stepMs) {
    const { status, page } = await readResults(edge2.front, "step-0", listed.size, 500);
    page?.results.forEach(result => listed.set(result.id, result.state));
    if (page === undefined) {
        bench.log(`trainer: a read was answered ${status}`);
    }
    if (listed.size === itemCount) {
        break;
    }
    await sleep(500);
}
const endedAt = Date.now();
bench.log(`trainer: ${listed.size} of ${itemCount} items listed, ${endedAt - submittedAt} ms after the submission`);

const unfinished = items.filter(({ id }) => !listed.has(id) && !workers.some(worker => worker.hasFinished(id)));
const idle = unfinished.filter(({ id }) => {
    const lastAt = Math.max(0, ...workers.map(worker => worker.lastAt(id)));
    return endedAt - Math.max(lastAt, steadyFrom) >= maxIdleMs;
});
const begun = items.filter(({ id }) => workers.some(worker => worker.lastAt(id) > 0));
const running = workers.map(worker => worker.running);
bench.log(`items begun ${begun.length}, unfinished ${unfinished.length}, of these at no worker for 5 s ${idle.length}`);
bench.log(`runs at the workers by now: ${running.join(" and ")} of 4 each`);
const end = await endSubmission(edge2.front, "step-0");
bench.log(`trainer: the end was answered ${end.status ?? end.error}`);
if (idle.length > 0 && begun.length > 0) {
    await bench.end(1, `LOST: ${idle.length} accepted items are at no worker, and ${listed.size} are listed`);
}
await bench.end(listed.size === itemCount ? 0 : 2, `${listed.size} of ${itemCount} items are listed`);
