/**
 * Keys and values of what the store keeps of callers' streams: the history of versions, which the conductor writes, and
 * the records of the streams that each host began. A value that cannot be decoded gives a description of what is wrong.
 */

import { type Instant, type ServingDocument, type StreamRecord } from "@tamarackpath/core";
import { unpack } from "msgpackr";
import { array, Codec, Either, number, optional, string, tuple } from "purify-ts";

/** Keys of the stored history and records. */
export const streamKeys = {
    prefix: "tamarack/software/",
    history: "tamarack/software/history",
    records: (name: string, startedAt: Instant) => `tamarack/software/streams/${name}/${Math.round(startedAt)}`,
} as const;

const historyCodec = Codec.interface({
    knownSince: number,
    subjects: array(tuple([
        string,
        array(Codec.interface({ value: string, since: number, until: optional(number) })),
    ])),
});

const recordsCodec = array(Codec.interface({
    stream: string,
    service: string,
    software: string,
    target: string,
    incarnation: number,
    startedAt: number,
}));

/** Decodes the history of versions. */
export function decodeHistory(value: Uint8Array): Either<string, ServingDocument> {
    return unpacked(value).chain(data => historyCodec.decode(data)).map(each => each as unknown as ServingDocument);
}

/** Decodes the records of one process's streams. */
export function decodeRecords(value: Uint8Array): Either<string, readonly StreamRecord[]> {
    return unpacked(value).chain(data => recordsCodec.decode(data)).map(each =>
        each as unknown as readonly StreamRecord[]
    );
}

function unpacked(value: Uint8Array): Either<string, unknown> {
    return Either.encase<Error, unknown>(() => unpack(value)).mapLeft(err => String(err));
}
