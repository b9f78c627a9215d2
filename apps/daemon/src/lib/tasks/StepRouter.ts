/**
 * Finds the owner of a step and forwards the trainer's requests to it. When a host does not answer, the request goes to
 * the next host of the ranking. Any host may own a step, because the trainer's cursor alone determines which samples
 * are still to be delivered.
 */

import {
    after,
    cursorHost,
    type HostId,
    type Instant,
    type PeerRequestName,
    type PeerRequests,
    type Problem,
    problem,
    type ProblemType,
    stepKey,
    type StepPullRequest,
    type StepPullResponse,
    type StepReference,
    type StepSpec,
    type StepStatus,
} from "@tamarackpath/core";
import { type Either, Left } from "purify-ts";
import { type Context } from "../Context.js";
import { type MembershipTask } from "./MembershipTask.js";
import { type StepTask } from "./StepTask.js";

const forwardTimeoutMs = 3000;
const retryAfterMs = 200;
const suspicionTtlMs = 2000;
const maxCandidates = 4;

type StepRequestName = Extract<PeerRequestName, "step-put" | "step-pull" | "step-status" | "step-cancel">;
type Answer<Name extends StepRequestName> = Either<Problem, PeerRequests[Name]["answer"]>;

interface RoutedRequest<Name extends StepRequestName> {
    readonly name: Name;
    readonly ask: PeerRequests[Name]["ask"];
    /** The host to try first if it is alive. */
    readonly preferred?: HostId;
    readonly deadline: Instant;
    /** Problem types after which the next host is tried. */
    readonly failoverOn: readonly ProblemType[];
    serveLocally(): Answer<Name> | Promise<Answer<Name>>;
}

/** Routes requests about steps to their owners. */
export class StepRouter {
    private readonly suspects = new Map<HostId, Instant>();

    constructor(
        private readonly ctx: Context,
        private readonly members: MembershipTask,
        private readonly local: StepTask,
    ) {}

    put(spec: StepSpec): Promise<Either<Problem, StepStatus>> {
        return this.route({
            name: "step-put",
            ask: spec,
            deadline: this.fromNow(forwardTimeoutMs),
            failoverOn: ["stopping", "too-many-requests"],
            serveLocally: () => this.local.put(spec),
        });
    }

    /** Tries the host that issued the cursor first: a step stays with its owner while that host is alive. */
    pull(request: StepPullRequest): Promise<Either<Problem, StepPullResponse>> {
        return this.route({
            name: "step-pull",
            ask: request,
            preferred: request.cursor === undefined ? undefined : cursorHost(request.cursor),
            deadline: after(request.waitUntil as Instant, forwardTimeoutMs),
            failoverOn: ["stopping", "step-spec-needed"],
            serveLocally: () => this.local.pull(request),
        });
    }

    status(ref: StepReference): Promise<Either<Problem, StepStatus>> {
        return this.route({
            name: "step-status",
            ask: ref,
            deadline: this.fromNow(forwardTimeoutMs),
            failoverOn: ["stopping", "step-spec-needed"],
            serveLocally: () => this.local.status(ref),
        });
    }

    /** Cancels the step on every live host, so that no later owner starts it again. */
    async cancel(ref: StepReference): Promise<Either<Problem, StepStatus>> {
        const deadline = this.fromNow(forwardTimeoutMs);
        const others = this.members.ranked(stepKey(ref)).filter(host => host !== this.ctx.host);
        const answers = await Promise.all(
            others.map(host => this.ctx.ports.peers.ask(host, "step-cancel", ref, deadline)),
        );
        const own = this.local.cancel(ref);
        const remote = answers.flatMap(answer => answer.toMaybe().toList()).find(answer => answer.isRight());
        return own.isRight() ? own : remote ?? own;
    }

    private fromNow(ms: number): Instant {
        return after(this.ctx.clock.now(), ms);
    }

    private async route<Name extends StepRequestName>(req: RoutedRequest<Name>): Promise<Answer<Name>> {
        let last: Answer<Name> = Left(problem("unavailable", "No owner of the step answers.", {
            retry: { allowed: true, notBefore: this.fromNow(retryAfterMs) },
        }));
        for (const host of this.candidates(stepKey(req.ask), req.preferred)) {
            const answer = host === this.ctx.host ? await req.serveLocally() : await this.forward(host, req);
            last = answer ?? last;
            const failed = answer?.swap().toMaybe().extract();
            if (answer !== undefined && (failed === undefined || !req.failoverOn.includes(failed.type))) {
                return answer;
            }
        }
        return last;
    }

    /** Forwards the request to a peer; undefined when the peer does not answer. */
    private async forward<Name extends StepRequestName>(
        host: HostId,
        { name, ask, deadline }: RoutedRequest<Name>,
    ): Promise<Answer<Name> | undefined> {
        const res = await this.ctx.ports.peers.ask(host, name, ask, deadline);
        if (res.isLeft()) {
            this.suspects.set(host, this.fromNow(suspicionTtlMs));
            return undefined;
        }
        this.suspects.delete(host);
        return res.unsafeCoerce();
    }

    /**
     * The hosts to try, in order; hosts that recently failed to answer come last. A preferred host that is leaving is
     * still tried: it answers until its successor owns the step. Otherwise the successor would start from nothing.
     */
    private candidates(key: string, preferred: HostId | undefined): readonly HostId[] {
        const ranked = this.members.ranked(key);
        const isUp = preferred !== undefined && (ranked.includes(preferred) || this.members.isPresent(preferred));
        const first = isUp ? [preferred] : [];
        const ordered = [...first, ...ranked.filter(host => host !== preferred)].slice(0, maxCandidates);
        const now = this.ctx.clock.now();
        const isSuspect = (host: HostId): boolean => (this.suspects.get(host) ?? 0) > now;
        return [...ordered.filter(host => !isSuspect(host)), ...ordered.filter(isSuspect)];
    }
}
