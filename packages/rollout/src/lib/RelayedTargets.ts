/**
 * Sends requests to targets directly, or, while this host reaches none, through a host that does. Only the way of one
 * attempt changes: which target it goes to, its permit, its deadline and what follows are decided at the host that the
 * caller asked. A request that a host sends for another one always goes directly, so that there is one hop at most.
 */

import {
    after,
    type CallTargets,
    type Clock,
    type ForwardedCall,
    type ForwardOutcome,
    type HostId,
    msUntil,
    type PeerNetwork,
    problem,
    type RelayChoice,
    type RelaySend,
    type RelayStep,
    RequestPermit,
    type StopAdmission,
    type TargetEntryView,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type HostView } from "./HostView.js";
import { type Journal } from "./Journal.js";
import { type ReachTask } from "./ReachTask.js";
import { RelaySession } from "./RelaySession.js";
import { requireWholeAnswer } from "./wholeAnswers.js";

type SendOptions = Parameters<CallTargets["send"]>[2];

/** Milliseconds after which an attempt that has no connection yet gives rise to a probe: some round trips. */
const connectSuspicionMs = 50;

/** Upper limit of the requests that a host sends for others at once; it refuses more, so that its own callers are served. */
const maxSessions = 48;

/** Milliseconds beyond a request's deadline that an answer to the other host may take. */
const answerMarginMs = 300;

/** Milliseconds that a host has to acknowledge the end of a request. */
const endTimeoutMs = 500;

/** Sends attempts directly or through another host. */
export class RelayedTargets implements CallTargets {
    /** The requests that this host sends for others. */
    private readonly sessions = new Map<string, RelaySession>();
    private lastSerial = 0;

    constructor(
        private readonly self: HostId,
        private readonly direct: CallTargets,
        private readonly reach: ReachTask,
        private readonly stop: Pick<StopAdmission, "refusalOf">,
        private readonly choice: RelayChoice,
        private readonly view: HostView,
        private readonly peers: PeerNetwork,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        peers.handle("relay-send", ask => this.sendForOther(ask));
        peers.handle("relay-next", async ({ relay }) => {
            const session = this.sessions.get(relay);
            return session === undefined
                ? Left(problem("unavailable", "The request has ended."))
                : Right(await session.take());
        });
        peers.handle("relay-end", async ({ relay }) => {
            this.sessions.get(relay)?.abort();
            return Right({});
        });
    }

    /** Number of requests that this host sends for others. */
    get sessionCount(): number {
        return this.sessions.size;
    }

    /** Ends the requests of other hosts; whether they have run is unknown. */
    endOthers(reason: string): void {
        this.sessions.forEach(session => session.end(reason));
    }

    /** Whether no target can be reached, neither directly nor through another host. */
    get reachesNothing(): boolean {
        return this.reach.isCutOff && !this.choice.hasAny(this.clock.now());
    }

    canConnect(target: TargetEntryView, deadline: SendOptions["deadline"]): Promise<boolean> {
        return this.direct.canConnect(target, deadline);
    }

    async send(
        target: TargetEntryView,
        call: ForwardedCall,
        options: SendOptions,
        signal: AbortSignal,
    ): Promise<ForwardOutcome> {
        if (!this.reach.isCutOff) {
            const end = await this.sendDirectly(target, call, options, signal);
            if (end !== "not-sent") {
                return end;
            }
        }
        return signal.aborted ? { kind: "cancelled" } : await this.relay(target, call, options, signal);
    }

    /** Sends directly; "not-sent" once this host proves to be cut off before anything was sent. */
    private async sendDirectly(
        target: TargetEntryView,
        call: ForwardedCall,
        options: SendOptions,
        signal: AbortSignal,
    ): Promise<ForwardOutcome | "not-sent"> {
        const stop = new AbortController();
        const onAbort = (): void => stop.abort();
        signal.addEventListener("abort", onAbort, { once: true });
        let isSent = false;
        let isGivenUp = false;
        const giveUp = (): void => {
            if (!isSent && !signal.aborted) {
                isGivenUp = true;
                stop.abort();
            }
        };
        const cancelSuspicion = this.clock.callAt(after(this.clock.now(), connectSuspicionMs), () => {
            if (!isSent) {
                this.reach.suspectSoon();
            }
        });
        const off = this.reach.events.on("changed", isCutOff => {
            if (isCutOff) {
                giveUp();
            }
        });
        const onSent = (): void => {
            isSent = true;
            options.onSent?.();
        };
        try {
            const end = await requireWholeAnswer(
                options.streamHandler,
                streamHandler => this.direct.send(target, call, { ...options, onSent, streamHandler }, stop.signal),
            );
            if (isGivenUp) {
                return "not-sent";
            }
            if (end.kind === "not-run" && !end.reached) {
                await this.reach.suspect();
                return this.reach.isCutOff ? "not-sent" : end;
            }
            return end;
        }
        finally {
            cancelSuspicion();
            off();
            signal.removeEventListener("abort", onAbort);
        }
    }

    private async relay(
        target: TargetEntryView,
        call: ForwardedCall,
        options: SendOptions,
        signal: AbortSignal,
    ): Promise<ForwardOutcome> {
        const tried = new Set<HostId>();
        for (;;) {
            const host = this.choice.choose(tried, this.clock.now());
            if (host === undefined) {
                const detail = "This host reaches no target, and knows no host that takes the request.";
                return { kind: "not-run", detail, reached: false };
            }
            tried.add(host);
            const startedAt = this.clock.now();
            options.onSent?.();
            // The host that sends it may be of earlier software, which does not check this.
            const end = await requireWholeAnswer(
                options.streamHandler,
                streamHandler => this.relayThrough(host, target, call, { ...options, streamHandler }, signal),
            );
            this.journal.log("call-relayed", {
                call: call.id,
                target: target.target,
                through: host,
                end: end.kind,
                detail: "detail" in end ? end.detail : undefined,
                ms: this.clock.now() - startedAt,
            });
            if (end.kind !== "not-taken") {
                return end;
            }
            this.choice.recordRefusal(host, this.clock.now());
        }
    }

    /** Sends one attempt through `host`; "not-taken" means that nothing was sent to the target. */
    private async relayThrough(
        host: HostId,
        { target, incarnation }: TargetEntryView,
        call: ForwardedCall,
        { deadline, streamHandler, maxConnections, shouldUseNewConnection, maxBodyBytes }: SendOptions,
        signal: AbortSignal,
    ): Promise<ForwardOutcome | { readonly kind: "not-taken"; readonly detail: string; }> {
        const relay = `${this.self} ${++this.lastSerial} ${call.id}`;
        const answerBy = after(deadline, answerMarginMs);
        const onAbort = (): void => {
            void this.peers.ask(host, "relay-end", { relay }, after(this.clock.now(), endTimeoutMs));
        };
        signal.addEventListener("abort", onAbort, { once: true });
        try {
            this.peers.setAddress(host, host);
            const ask: RelaySend = {
                relay,
                target,
                incarnation,
                call,
                leftMs: msUntil(deadline, this.clock.now()),
                isStream: streamHandler !== undefined,
                maxConnections,
                shouldUseNewConnection,
                maxBodyBytes,
            };
            let res = await this.peers.ask(host, "relay-send", ask, answerBy);
            for (let isFirst = true;; isFirst = false) {
                if (signal.aborted) {
                    return { kind: "cancelled" };
                }
                const failure = res.swap().toMaybe().extract();
                const answer = res.toMaybe().extract();
                if (answer === undefined) {
                    const detail = failure?.detail ?? "";
                    return isFirst && failure?.reason === "not-sent"
                        ? { kind: "not-taken", detail }
                        : { kind: "unknown", detail: `The link to ${host} failed: ${detail}` };
                }
                const step = answer.toMaybe().extract();
                if (step === undefined) {
                    const { detail } = answer.swap().unsafeCoerce();
                    return isFirst ? { kind: "not-taken", detail } : { kind: "unknown", detail };
                }
                const { head, chunks, outcome } = step;
                if (head !== undefined) {
                    streamHandler?.onHead(head);
                }
                for (const chunk of chunks) {
                    await streamHandler?.onChunk(chunk);
                }
                if (outcome !== undefined) {
                    return outcome;
                }
                res = await this.peers.ask(host, "relay-next", { relay }, answerBy);
            }
        }
        finally {
            signal.removeEventListener("abort", onAbort);
        }
    }

    /** Sends a request of another host; a problem in the answer means that nothing was sent. */
    private async sendForOther(ask: RelaySend): Promise<Either<ReturnType<typeof problem>, RelayStep>> {
        const entry = this.view.directory.get(ask.target);
        const deadline = after(this.clock.now(), ask.leftMs);
        const refusal = this.stop.refusalOf(deadline, this.clock.now()) !== undefined
            ? "This host is stopping."
            : this.reach.isCutOff
            ? "This host reaches no target either."
            : this.sessions.size >= maxSessions
            ? "This host sends too many requests for others."
            : entry === undefined || entry.incarnation !== ask.incarnation
            ? "This host does not know the target."
            : entry.leaving && (entry.servesUntil ?? 0) <= this.clock.now()
            ? "The target is leaving."
            : undefined;
        if (refusal !== undefined || entry === undefined) {
            return Left(problem("unavailable", refusal ?? ""));
        }
        const session = new RelaySession(this.clock, () => this.sessions.delete(ask.relay));
        this.sessions.set(ask.relay, session);
        // The permit was taken at the other host, and its request is sent at once.
        const permit = new RequestPermit(ask.target, deadline);
        const { call, maxConnections, shouldUseNewConnection, maxBodyBytes } = ask;
        const options = {
            deadline,
            permit,
            maxConnections,
            shouldUseNewConnection,
            ...(maxBodyBytes === undefined ? {} : { maxBodyBytes }),
        };
        // The host that asks may be of earlier software, which does not check this.
        void requireWholeAnswer(
            ask.isStream ? session : undefined,
            streamHandler => this.direct.send(entry, call, { ...options, streamHandler }, session.signal),
        ).then(
            outcome => session.finish(outcome),
            (err: unknown) => session.finish({ kind: "unknown", detail: String(err) }),
        );
        return Right(await session.take());
    }
}
