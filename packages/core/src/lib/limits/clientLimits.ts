/**
 * Derives what a process allows its clients from the memory and the descriptors of its host. It answers crowds that open
 * many connections or fill many buffers; docs/operators/client-limits.md lists each limit and why no proper client meets it.
 */

import { type BufferBudgetOptions } from "./BufferBudget.js";

/** Limits of a process towards all of its clients together, and of each connection. */
export interface ClientLimits {
    /** Bodies of requests, and answers that callers have not read. */
    readonly requests: BufferBudgetOptions;
    readonly answers: BufferBudgetOptions;
    /** Connections of callers, and of each other server of the process. */
    readonly maxCallerConnections: number;
    readonly maxProbeConnections: number;
    /** Requests of one connection that are served at once; further ones wait. */
    readonly maxOpenPerConnection: number;
    /** Requests of one connection without an answer from which it is closed. */
    readonly maxQueuedPerConnection: number;
}

const mebibyte = 1024 * 1024;

/** What the process itself needs: its program, its heap of up to 110 MB, and buffers that are not collected yet. */
const ownBytes = 160 * mebibyte;

/** Lower limit of the buffers, for hosts whose memory is hardly more than what the process needs. */
const minBufferBytes = 16 * mebibyte;

/** Used where the settings state no limit. */
const usual = { memoryBytes: 512 * mebibyte, descriptors: 4096 } as const;

/** Shares of the buffers; the rest covers copies that are not collected yet. */
const bufferShares = { requests: 0.4, answers: 0.3 } as const;

/** Share of each budget that only small bodies and answers may use. */
const reservedShare = 0.25;

const maxSmallBytes = 64 * 1024;

/** Share of the descriptors for callers; the others are for targets, peers and the store. */
const callerDescriptorShare = 0.5;

/** Memory of the process for each connection of a caller. */
const bytesPerConnection = 64 * 1024;

const maxProbeShare = 1 / 16;

/** Derives the limits; undefined stands for a limit that is not stated. */
export function deriveClientLimits(
    maxMemoryBytes: number | undefined,
    maxDescriptors: number | undefined,
): ClientLimits {
    const memoryBytes = maxMemoryBytes ?? usual.memoryBytes;
    const descriptors = maxDescriptors ?? usual.descriptors;
    const bufferBytes = Math.max(minBufferBytes, memoryBytes - ownBytes);
    const budgetOf = (share: number): BufferBudgetOptions => ({
        maxBytes: bufferBytes * share,
        reservedBytes: bufferBytes * share * reservedShare,
        maxSmallBytes,
    });
    return {
        requests: budgetOf(bufferShares.requests),
        answers: budgetOf(bufferShares.answers),
        maxCallerConnections: Math.max(
            16,
            Math.floor(Math.min(descriptors * callerDescriptorShare, memoryBytes / bytesPerConnection)),
        ),
        maxProbeConnections: Math.max(8, Math.floor(descriptors * maxProbeShare)),
        maxOpenPerConnection: 16,
        maxQueuedPerConnection: 128,
    };
}
