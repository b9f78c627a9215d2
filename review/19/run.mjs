/**
 * A worker breaks off one of its streams in the middle of an event. The answer has no length and ends with its channel.
 * Checks that the caller's stream does not end as complete.
 */

import http from "node:http";
import { join } from "node:path";
import { configOf } from "../standins-4/config.mjs";
import { Bench, sleep, startHosts, Store } from "../standins-4/lib.mjs";
import { eventOf, readStream, streamOf, streamRouteOf, StreamWorker } from "../standins-4/streams.mjs";

const events = 10;
const brokenEvent = 4;
const streamCount = 48;

/** The request of the faulty worker that is broken off: one in 48 answers, of one of two workers. */
const brokenRequest = 5;

const bench = new Bench(join(import.meta.dirname, "record.txt"));
const store = await new Store(bench).listen();
store.write("op/config", configOf(1, { routes: [streamRouteOf(10_000)] }));
const [faulty] = await Promise.all(
    ["za", "zb"].map(zone => new StreamWorker(bench, store, { id: `i-${zone}`, zone, events, eventMs: 20 }).start()),
);
let requests = 0;
faulty.onRequest = (id, { socket }) => {
    const isBroken = ++requests === brokenRequest && bench.hasTrouble;
    socket.write(
        "HTTP/1.1 200 OK\r\n"
            + `Tamarackpath-Request-Id: ${id}\r\n`
            + `Tamarackpath-Response-Stamp: stamp.${id}\r\n`
            + "Content-Type: text/event-stream\r\n"
            + "Connection: close\r\n\r\n",
    );
    let made = 0;
    const timer = setInterval(() => {
        made++;
        const event = eventOf(id, made);
        if (isBroken && made === brokenEvent) {
            clearInterval(timer);
            socket.end(event.slice(0, event.indexOf("data:") + 9));
            bench.log(`${faulty.id}: breaks the answer to ${id} off in the middle of event ${brokenEvent}`);
            return;
        }
        socket.write(event);
        if (made === events) {
            clearInterval(timer);
            socket.end();
        }
    }, 20);
    return true;
};
const { hosts } = await startHosts(bench, store, [
    { name: "edge-1", zone: "za" },
    { name: "edge-2", zone: "zb" },
]);
await sleep(3000);

const agent = new http.Agent({ keepAlive: true });
const ends = [];
for (let nth = 0; nth < streamCount; nth += 4) {
    const batch = [0, 1, 2, 3].map(each => readStream(bench, hosts[each % 2].front, agent, `r-${nth + each}`, 5000));
    ends.push(...await Promise.all(batch));
}
const truncated = ends.filter(({ id, status, isComplete, text }) =>
    status === 200 && isComplete && text !== streamOf(id, events)
);
truncated.forEach(({ id, text }) => bench.log(`client: the complete answer to ${id} is ${JSON.stringify(text)}`));
bench.log(`truncated streams that ended as complete: ${truncated.length} of ${streamCount}`);
if (truncated.length > 0) {
    await bench.end(1, `ORDER: ${truncated.length} streams ended as complete before their last piece`);
}
const whole = ends.filter(({ id, text }) => text === streamOf(id, events)).length;
await bench.end(whole >= streamCount - 1 ? 0 : 2, `${whole} of ${streamCount} streams are whole`);
