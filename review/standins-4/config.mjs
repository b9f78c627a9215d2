/** The configuration of the small deployment that the scripts play, and its batch submissions. */

import { call } from "./lib.mjs";

export const routeHost = "desk.example";

/** A configuration as the operator writes it. */
export function configOf(version, changes = {}) {
    return {
        version,
        routes: [
            {
                name: "orders",
                host: routeHost,
                prefix: "/orders/",
                kind: "idempotent",
                service: "desk",
                max_attempts: 3,
                timeout_ms: 10_000,
                target_latency_ms: 150,
                priority: 2,
            },
            {
                name: "bookings",
                host: routeHost,
                prefix: "/bookings/",
                kind: "non_idempotent",
                service: "desk",
                max_attempts: 3,
                timeout_ms: 10_000,
                target_latency_ms: 150,
                priority: 2,
            },
            {
                name: "drafts",
                host: routeHost,
                prefix: "/drafts/",
                kind: "rollout",
                service: "models",
                max_attempts: 3,
                timeout_ms: 10_000,
                target_latency_ms: 400,
                run_target_ms: 7500,
                queue_ttl_s: 40,
                priority: 1,
                resumable: true,
                sticky: true,
            },
            ...changes.routes ?? [],
        ],
        services: [
            { name: "desk", health_path: "/healthz", max_connections: 110 },
            {
                name: "models",
                health_path: "/healthz",
                max_connections: 160,
                engine: { slots: 12, kv_tokens: 80_521, models: [{ name: "m0" }] },
            },
        ],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 33_554_432,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        },
        ...changes.top,
    };
}

/** The body of a batch submission. */
export function submissionOf({ step = 0, minVersion = 1, targetGroups, items }) {
    return JSON.stringify({
        step,
        model: "m0",
        min_version: minVersion,
        target_groups: targetGroups ?? new Set(items.map(({ group }) => group)).size,
        items: items.map(({ id, group }) => ({
            id,
            path: `/drafts/items/${id}`,
            headers: {
                "Tamarackpath-Model": "m0",
                "Tamarackpath-Token-Usage": "16,40",
                "Tamarackpath-Prompt-Prefix": `${id}:16`,
            },
            body: Buffer.from(`body of ${id}`).toString("base64"),
            tokens: 56,
            group,
        })),
    });
}

/** Submits a batch submission at a host. */
export function submit(front, id, body, timeoutMs = 5000) {
    const headers = {
        host: routeHost,
        "content-type": "application/json",
        "Tamarackpath-Request-Id": id,
        "Tamarackpath-Deadline-Ms": "4000",
    };
    return call(front, "POST", `/drafts/${id}`, headers, body, timeoutMs);
}

/** Reads results from a position. */
export async function readResults(front, id, after = 0, waitMs = 0) {
    const headers = { host: routeHost, ...(waitMs > 0 ? { "Tamarackpath-Wait-Ms": String(waitMs) } : {}) };
    const answer = await call(front, "GET", `/tamarackpath/lots/${id}?after=${after}`, headers, "", waitMs + 1500);
    return { ...answer, page: answer.status === 200 ? JSON.parse(answer.body.toString("utf8")) : undefined };
}

/** Ends a batch submission. */
export function endSubmission(front, id) {
    return call(front, "DELETE", `/tamarackpath/lots/${id}`, { host: routeHost }, "", 4000);
}
