/**
 * Sends the requests of job calls to the conductor. A host that is cut off from the conductor and the store sends them
 * through a host that reaches the conductor, since callers that stay connected to it would wait in vain.
 */

import {
    after,
    type Clock,
    type HostId,
    type JobRequestEnd,
    type JobRequestName,
    msUntil,
    type PeerNetwork,
    type PeerRequests,
    problem,
    type RelayedJobRequest,
} from "@tamarackpath/core";
import { Left, Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { type Journal } from "./Journal.js";

/** Options of the calls to the conductor. */
export interface ConductorCallOptions {
    /** True while this host reaches neither the conductor nor the store. */
    readonly isCutOff: () => boolean;
    /** A host that may reach the conductor, not one in `tried`. */
    readonly chooseRelay: (tried: ReadonlySet<HostId>) => HostId | undefined;
}

/** Hosts that are tried for one request; others of the same zone may be cut off as well. */
const maxRelays = 3;

/** Milliseconds that a relay has in addition to the time that the conductor has. */
const relayMarginMs = 150;

/** Sends requests to the conductor, and relays those of other hosts. */
export class ConductorCalls {
    constructor(
        private readonly options: ConductorCallOptions,
        private readonly conductor: Pick<ConductorTask, "conductor" | "isConductor">,
        private readonly peers: PeerNetwork,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        peers.handle("job-relay", async ({ name, ask, ms }) => {
            const { conductor: host, isConductor } = this.conductor;
            // A relay that conducts has its requests sent to it directly; the sender learns of it by the next answer.
            return host === undefined || isConductor || options.isCutOff()
                ? Left(problem("unavailable", "This host does not reach the conductor either."))
                : Right(await this.sendTo(host, name, ask, ms));
        });
    }

    /** Sends a request to the conductor, which has `ms` milliseconds to answer. */
    async ask<Name extends JobRequestName>(
        name: Name,
        ask: PeerRequests[Name]["ask"],
        ms: number,
    ): Promise<JobRequestEnd<Name>> {
        const host = this.conductor.conductor;
        if (this.options.isCutOff()) {
            return this.relay(name, ask, ms);
        }
        return host === undefined
            ? { kind: "not-sent", detail: "No conductor is known." }
            : this.sendTo(host, name, ask, ms);
    }

    private async relay<Name extends JobRequestName>(
        name: Name,
        ask: PeerRequests[Name]["ask"],
        ms: number,
    ): Promise<JobRequestEnd<Name>> {
        const deadline = after(this.clock.now(), ms + relayMarginMs);
        const tried = new Set<HostId>();
        while (tried.size < maxRelays) {
            const host = this.options.chooseRelay(tried);
            const leftMs = msUntil(deadline, this.clock.now()) - relayMarginMs;
            if (host === undefined || leftMs <= 0) {
                break;
            }
            tried.add(host);
            this.peers.setAddress(host, host);
            const request = { name, ask, ms: leftMs } as RelayedJobRequest;
            const res = await this.peers.ask(host, "job-relay", request, deadline);
            const failure = res.swap().toMaybe().extract();
            const end = res.toMaybe().chain(answer => answer.toMaybe()).extract() as JobRequestEnd<Name> | undefined;
            this.journal.log("job-call-relayed", {
                name,
                through: host,
                end: end?.kind ?? failure?.reason ?? "refused",
            });
            if (end !== undefined && end.kind !== "not-sent") {
                return end;
            }
            if (failure?.reason === "no-answer") {
                return { kind: "no-answer", detail: failure.detail };
            }
        }
        return { kind: "not-sent", detail: "This host reaches neither the conductor nor a host that does." };
    }

    private async sendTo<Name extends JobRequestName>(
        host: HostId,
        name: Name,
        ask: PeerRequests[Name]["ask"],
        ms: number,
    ): Promise<JobRequestEnd<Name>> {
        const res = await this.peers.ask(host, name, ask, after(this.clock.now(), ms));
        return res.caseOf<JobRequestEnd<Name>>({
            Left: ({ reason, detail }) => ({ kind: reason === "not-sent" ? "not-sent" : "no-answer", detail }),
            Right: inner =>
                inner.caseOf<JobRequestEnd<Name>>({
                    Left: refusal => ({ kind: "refused", detail: refusal.detail }),
                    Right: answer => ({ kind: "answered", answer }),
                }),
        });
    }
}
