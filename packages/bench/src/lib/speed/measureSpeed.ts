/**
 * Measures the daemon's own speed: the latency that it adds to a direct call, its processor time, the requests per
 * second that one process serves, and its memory for streams. Direct and routed calls alternate, so that a busy machine
 * slows both.
 */

import { Fleet, fleetService, fleetToken } from "@tamarackpath/standins";
import { setMaxListeners } from "node:events";
import { readFileSync } from "node:fs";
import { Agent, type Dispatcher, request } from "undici";
import { LatencyHistogram } from "../Measures.js";

const concurrentCalls = 32;
const throughputCalls = 6000;
const latencyCalls = 1000;
const latencyIntervalMs = 2;
const streamCount = 500;
const tokensPerStream = 40;
const tokensPerLongStream = 100_000;
const ticksPerSecond = 100;
const bytesPerPage = 4096;
const settleDelayMs = 1500;

interface Call {
    readonly url: string;
    readonly method: Dispatcher.HttpMethod;
    readonly body?: string;
    readonly headers: Record<string, string>;
}

/** Runs all measures and returns them by name. Throws when a call fails. */
export async function measureSpeed(): Promise<Readonly<Record<string, number | undefined>>> {
    const fleet = await Fleet.start({
        zones: ["leon"],
        hostsPerZone: 1,
        enginesPerZone: 1,
        plainPerZone: 1,
        engine: { slots: streamCount, tokenMs: 20, batchSlope: 0 },
        adjustConfig: doc => doc.pools.forEach(pool => pool["slotsPerTarget"] = streamCount),
    });
    await new Promise(resolve => setTimeout(resolve, settleDelayMs));
    const dispatcher = new Agent({ connections: concurrentCalls });
    const pid = fleet.daemons[0]!.pid!;
    const headers = { "authorization": `Bearer ${fleetToken.desk}`, "content-type": "application/json" };
    const base = `${fleet.urls()[0]!}/v1/services/${fleetService.desk}`;
    const routed: Call = { url: `${base}/calls/quotes/k1`, method: "GET", headers };
    const direct: Call = { url: `${fleet.plain[0]!.standIn.server.url}/quotes/k1`, method: "GET", headers: {} };
    await sendConcurrently(routed, 1000, dispatcher);
    const latency = await compareLatency(routed, direct, dispatcher);
    const cpuBefore = readCpuMs(pid);
    const startedAt = performance.now();
    await sendConcurrently(routed, throughputCalls, dispatcher);
    const seconds = (performance.now() - startedAt) / 1000;
    const cpuMsPerCall = (readCpuMs(pid) - cpuBefore) / throughputCalls;
    const streaming = await measureStreams(`${base}/completions`, headers, pid);
    await dispatcher.close();
    await fleet.close();
    return {
        ...latency,
        "requests per s, one process": throughputCalls / seconds,
        "processor ms per request": cpuMsPerCall,
        "requests per s of processor time": 1000 / cpuMsPerCall,
        ...streaming,
    };
}

async function send({ url, method, body, headers }: Call, dispatcher: Dispatcher): Promise<void> {
    const res = await request(url, { method, body, headers, dispatcher });
    await res.body.dump();
    if (res.statusCode !== 200) {
        throw new Error(`Cannot measure calls to ${url}: the response status is ${res.statusCode}.`);
    }
}

/** Sends `count` calls, up to `concurrentCalls` at the same time. */
async function sendConcurrently(call: Call, count: number, dispatcher: Dispatcher): Promise<void> {
    let left = count;
    const worker = async (): Promise<void> => {
        while (left-- > 0) {
            await send(call, dispatcher);
        }
    };
    await Promise.all(Array.from({ length: concurrentCalls }, worker));
}

/** Sends routed and direct calls in turn at a fixed rate and compares their latencies. */
async function compareLatency(routed: Call, direct: Call, dispatcher: Dispatcher) {
    const histograms = { routed: new LatencyHistogram(), direct: new LatencyHistogram() };
    const sendTimed = async (call: Call, histogram: LatencyHistogram): Promise<void> => {
        const start = performance.now();
        await send(call, dispatcher);
        histogram.record(performance.now() - start);
    };
    const pending: Promise<void>[] = [];
    for (let nth = 0; nth < 2 * latencyCalls; nth++) {
        pending.push(nth % 2 === 0 ? sendTimed(routed, histograms.routed) : sendTimed(direct, histograms.direct));
        await new Promise(resolve => setTimeout(resolve, latencyIntervalMs));
    }
    await Promise.all(pending);
    const addedMs = (percentile: number): number =>
        histograms.routed.percentile(percentile)! - histograms.direct.percentile(percentile)!;
    return {
        "direct p50 ms": histograms.direct.percentile(50),
        "direct p99 ms": histograms.direct.percentile(99),
        "added p50 ms": addedMs(50),
        "added p99 ms": addedMs(99),
    };
}

/** Measures processor time and memory for streams that an engine runs and for streams that wait for a slot. */
async function measureStreams(url: string, headers: Record<string, string>, pid: number) {
    const dispatcher = new Agent({ connections: 2 * streamCount });
    const call = (tokens: number, nth: number): Call => ({
        url,
        method: "POST",
        headers: { ...headers, "tamarack-deadline": String(Date.now() + 60_000) },
        body: JSON.stringify({ prompt: `[tokens=${tokens}] stream ${nth}`, max_tokens: tokens, seed: nth }),
    });
    const warmUp = Array.from({ length: streamCount }, (unused, nth) => send(call(2, nth), dispatcher));
    await Promise.all(warmUp);
    const cpuBefore = readCpuMs(pid);
    await Promise.all(
        Array.from({ length: streamCount }, (unused, nth) => send(call(tokensPerStream, nth), dispatcher)),
    );
    const cpuMsPer1000Tokens = (readCpuMs(pid) - cpuBefore) / (streamCount * tokensPerStream) * 1000;
    const memoryBefore = readResidentBytes(pid);
    const open = await Promise.all(
        Array.from({ length: streamCount }, (unused, nth) => {
            const { url: target, ...rest } = call(tokensPerLongStream, nth);
            return request(target, { ...rest, dispatcher });
        }),
    );
    await new Promise(resolve => setTimeout(resolve, settleDelayMs));
    const bytesPerRunningStream = (readResidentBytes(pid) - memoryBefore) / streamCount;
    const waitingBefore = readResidentBytes(pid);
    const waitingAbort = new AbortController();
    setMaxListeners(0, waitingAbort.signal);
    const waiting = Array.from({ length: streamCount }, (unused, nth) => {
        const { url: target, ...rest } = call(tokensPerLongStream, nth);
        return request(target, { ...rest, dispatcher, signal: waitingAbort.signal }).catch(() => undefined);
    });
    await new Promise(resolve => setTimeout(resolve, settleDelayMs));
    const bytesPerWaitingStream = (readResidentBytes(pid) - waitingBefore) / streamCount;
    waitingAbort.abort();
    await Promise.all(waiting);
    await Promise.all(
        open.map(res => new Promise<void>(resolve => void res.body.on("error", () => resolve()).destroy())),
    );
    await dispatcher.destroy();
    return {
        "processor ms per 1,000 tokens": cpuMsPer1000Tokens,
        "bytes a running stream": bytesPerRunningStream,
        "bytes a waiting stream": bytesPerWaitingStream,
    };
}

function readCpuMs(pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!.split(" ");
    return (Number(fields[11]) + Number(fields[12])) * 1000 / ticksPerSecond;
}

function readResidentBytes(pid: number): number {
    return Number(readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1]) * bytesPerPage;
}
