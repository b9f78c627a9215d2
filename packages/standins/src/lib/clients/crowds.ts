/**
 * Crowds of clients that do not stay within a server's limits: one function a kind of client. Sizes are small, so that a
 * crowd fits into a test; a process under test gets limits that are as small.
 */

import { CrowdClient } from "./CrowdClient.js";

/** A request path of a server, and what a request there needs. */
export interface CrowdPlace {
    readonly name: string;
    readonly port: number;
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Sizes of the server's limits that a crowd is made for. */
export interface CrowdLimits {
    readonly maxBodyBytes: number;
}

/** Opens a crowd at a place. */
export type OpenCrowd = (place: CrowdPlace, limits: CrowdLimits) => readonly CrowdClient[];

const kibibyte = 1024;
const mebibyte = 1024 * kibibyte;

/** Crowds by kind of client. */
export const crowds: Readonly<Record<string, OpenCrowd>> = {
    "bodies of legal size in one piece that stop before their end": (place, { maxBodyBytes }) => {
        const body = Buffer.alloc(maxBodyBytes - 1, 0x61);
        return open(40, place, () => [head(place, { "content-length": String(maxBodyBytes) }), body]);
    },
    "bodies of legal size in small pieces that stop before their end": place => {
        const bodyBytes = 4 * mebibyte;
        const piece = Buffer.alloc(4 * kibibyte, 0x61);
        return open(24, place, () => [
            head(place, { "content-length": String(bodyBytes) }),
            ...Array.from({ length: bodyBytes / piece.length - 1 }, () => piece),
        ]);
    },
    "bodies in chunks of one byte that stop before their end": place => {
        const chunks = Buffer.from("1\r\na\r\n".repeat(10_000));
        return open(12, place, () => [
            head(place, { "transfer-encoding": "chunked" }),
            ...Array.from({ length: 30 }, () => chunks),
        ]);
    },
    "bodies far over the limit": place => {
        const piece = Buffer.alloc(mebibyte, 0x61);
        const chunk = Buffer.concat([Buffer.from(`${mebibyte.toString(16)}\r\n`), piece, Buffer.from("\r\n")]);
        return [
            ...open(6, place, () => [
                head(place, { "content-length": String(1024 * mebibyte) }),
                ...Array.from({ length: 24 }, () => piece),
            ]),
            ...open(6, place, () => [
                head(place, { "transfer-encoding": "chunked" }),
                ...Array.from({ length: 24 }, () => chunk),
            ]),
        ];
    },
    "requests of very many short fields": (place, { maxBodyBytes }) =>
        shortFieldBodies(maxBodyBytes / 2).flatMap(body =>
            open(2, place, () => [
                head(place, { "content-type": "application/json", "content-length": String(body.length) }, 2000),
                body,
            ])
        ),
    "pipelined requests whose answers are not read": place => {
        const requests = Buffer.from(head(place, { "content-length": "0" }).toString("latin1").repeat(1000));
        return open(20, place, () => Array.from({ length: 20 }, () => requests));
    },
    "requests that stop within their headers": place => {
        const whole = head(place, {});
        return open(300, place, () => [whole.subarray(0, whole.length - 4)]);
    },
    "requests that stop at the beginning of their body": place =>
        open(300, place, () => [head(place, { "content-length": "1000" }), Buffer.alloc(10, 0x61)]),
    "requests that arrive byte by byte": place => {
        const whole = Buffer.concat([head(place, { "content-length": "1000" }), Buffer.alloc(999, 0x61)]);
        const bytes = [...whole].map(byte => Buffer.from([byte]));
        return Array.from({ length: 300 }, (unused, nth) => {
            const skipped = nth % 2 === 0 ? 1 : whole.length - 1000;
            return new CrowdClient({
                port: place.port,
                pieces: [whole.subarray(0, skipped), ...bytes.slice(skipped)],
                pieceDelayMs: 50,
                reads: "always",
            });
        });
    },
    "callers that do not read large answers": place => open(60, place, () => [largeRequest(place)]),
    "callers that read large answers slowly": place =>
        Array.from(
            { length: 60 },
            () => new CrowdClient({ port: place.port, pieces: [largeRequest(place)], reads: "slowly" }),
        ),
};

function open(count: number, { port }: CrowdPlace, pieces: () => readonly Buffer[]): readonly CrowdClient[] {
    return Array.from({ length: count }, () => new CrowdClient({ port, pieces: pieces(), reads: "never" }));
}

/** The head of a request; with `shortFields`, also that many header fields of one letter. */
function head(place: CrowdPlace, headers: Readonly<Record<string, string>>, shortFields = 0): Buffer {
    const fields = Object.entries({ host: "127.0.0.1", ...place.headers, ...headers });
    return Buffer.from([
        `${place.method} ${place.path} HTTP/1.1`,
        ...fields.map(([name, value]) => `${name}: ${value}`),
        ...Array.from({ length: shortFields }, () => "a:b"),
        "",
        "",
    ].join("\r\n"));
}

/** A request for a large answer, at the places that give one. */
function largeRequest(place: CrowdPlace): Buffer {
    return head({ ...place, path: `${place.path}?large` }, { "content-length": "0" });
}

/** JSON bodies of about `bytes` bytes that take many times their size when they are parsed. */
function shortFieldBodies(bytes: number): readonly Buffer[] {
    const fill = (start: string, member: string, end: string): Buffer =>
        Buffer.from(`${start}${member.repeat(Math.floor(bytes / member.length))}${end}`);
    const names = Array.from({ length: Math.floor(bytes / 12) }, (unused, nth) => `"${nth.toString(36)}":"",`).join("");
    return [
        fill("{\"items\":[", "0,", "0]}"),
        fill("{\"items\":[", "{\"id\":\"a\",\"path\":\"/\"},", "{\"id\":\"a\",\"path\":\"/\"}]}"),
        Buffer.from(`{"items":[{"id":"a","path":"/","headers":{${names}"z":""}}]}`),
    ];
}
