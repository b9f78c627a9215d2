/**
 * A worker answers an item with a failure, and sends a second copy of that answer late, where the answer to the item's
 * next run is expected. Checks that no item is given up before `max_attempts` failures.
 */

import { join } from "node:path";
import { configOf, endSubmission, readResults, submissionOf, submit } from "../standins-4/config.mjs";
import { Bench, sleep, startHosts, Store } from "../standins-4/lib.mjs";
import { ModelWorker } from "../standins-4/worker.mjs";

/** Milliseconds that the trainer waits for a step: the deadline of the deployment's sheet. */
const stepMs = 12_000;

/** Failures of an item after which it may be given up; the route says so. */
const maxAttempts = 3;

const workerCount = 8;
const slots = 12;
const itemCount = workerCount * slots;

const bench = new Bench(join(import.meta.dirname, "record.txt"));
const store = await new Store(bench).listen();
store.write("op/config", configOf(1));
const zones = ["za", "zb", "zc"];
const workers = await Promise.all(Array.from({ length: workerCount }, (unused, nth) =>
    new ModelWorker(bench, store, {
        id: `i-${nth}`,
        service: "models",
        zone: zones[nth % zones.length],
        events: 40,
        eventMs: 50,
        slots,
    }).start()));

/** The item that the faulty worker fails in its first and third run, and the failures that it answered. */
let failing;
let runsOfFailing = 0;
const failures = [];

/** The copies that are still to be sent, by channel. */
const copies = new Map();
const faulty = workers[0];
faulty.onRequest = ({ socket, headers }) => {
    const copy = copies.get(socket);
    if (copy !== undefined) {
        copies.delete(socket);
        socket.write(copy);
        bench.log(
            `${faulty.id}: a second copy of the failure arrives where ${headers["tamarackpath-request-id"]} is due`,
        );
    }
};
faulty.onRun = ({ id }, { socket }) => {
    failing ??= id;
    if (!bench.hasTrouble || id !== failing || ++runsOfFailing === 2 || runsOfFailing > 3) {
        return false;
    }
    const text = "the worker failed";
    const answer = "HTTP/1.1 500 Internal Server Error\r\n"
        + `Tamarackpath-Request-Id: ${id}\r\n`
        + `Tamarackpath-Response-Stamp: stamp.${id}.${runsOfFailing}\r\n`
        + `Content-Length: ${text.length}\r\n\r\n${text}`;
    socket.write(answer);
    failures.push(runsOfFailing);
    bench.log(`${faulty.id}: answers run ${runsOfFailing} of ${id} with 500`);
    if (runsOfFailing === 1) {
        copies.set(socket, answer);
    }
    return true;
};
const { hosts } = await startHosts(bench, store, [
    { name: "edge-1", zone: "za" },
    { name: "edge-2", zone: "zb" },
    { name: "storage-1", zone: "zc", role: "storage" },
]);
const [edge1, edge2] = hosts;
await sleep(3000);

const items = Array.from({ length: itemCount }, (unused, nth) => ({ id: `item-${nth}`, group: `g${nth >> 2}` }));
const answer = await submit(edge1.front, "step-0", submissionOf({ items }));
const submittedAt = Date.now();
bench.log(`trainer: submission of ${itemCount} items, answered ${answer.status ?? answer.error}`);
if (answer.status !== 202) {
    await bench.end(2, "the submission was not accepted");
}
const listed = new Map();
while (Date.now() < submittedAt + stepMs && listed.size < itemCount) {
    const { page } = await readResults(edge2.front, "step-0", listed.size, 500);
    page?.results.forEach(result => listed.set(result.id, result.state));
}
await endSubmission(edge2.front, "step-0");
const givenUp = [...listed].filter(([, state]) => state === "errored").map(([id]) => id);
bench.log(`trainer: ${listed.size} of ${itemCount} items listed, given up: ${givenUp.join(" ") || "none"}`);
bench.log(`failures answered to ${failing}: ${failures.length}`);
if (givenUp.includes(failing) && failures.length < maxAttempts) {
    await bench.end(1, `MIXED: ${failing} is errored after ${failures.length} answers of 500, of ${maxAttempts}`);
}
await bench.end(listed.size === itemCount ? 0 : 2, `${listed.size} of ${itemCount} items are listed`);
