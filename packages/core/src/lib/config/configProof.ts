/**
 * Decides what proves that a host's configuration is current, and when a host has to find out itself. It answers the
 * revocation of a credential while hosts are cut off, paused, or follow a conductor that is cut off, at a cost in calls to the
 * store that does not grow with the number of hosts.
 *
 * A proof is an instant on the host's own clock. At that instant or later, the configuration in force was the newest one in the
 * store, so each proof is taken before the call or message that brings it is sent.
 */

import { type RouteConfig } from "../calls/RouteTable.js";
import { after, type ConfigRevision, type Instant, type KeyRevision } from "../ids.js";
import { type ConductorView } from "../ports/PeerRequests.js";

/**
 * Milliseconds that one call of the watch of the operators' documents waits. It limits how long a change stays undetected when
 * the connection gets no answers. A watch proves only the time of its begin, and an unknown credential is refused for good only at
 * a proof younger than a change of the configuration may take (2 s). With organisations, a proof is up to 1.0 s old at the
 * conductor and 1.8 s at its followers, at a cost of 2 calls a second for all hosts together.
 */
const watchWaitMs = { withOrganisations: 500, usual: 2000 } as const;

/**
 * Share of the time for a revocation after which a host reads the documents itself. It is above the usual age of a proof, as a
 * conductor that passes on proofs costs no own reads, and leaves time for a second read if the first one fails. A conductor that
 * is silent or of earlier software tells no age, and one that is cut off an increasing one.
 */
const provenShare = 0.5;

/** Milliseconds between the begins of a host's own reads of the operators' documents to prove its configuration. */
const proofReadIntervalMs = 1000;

/** Milliseconds that a watch of the operators' documents waits. */
export function configWatchWaitMs(hasOrganisations: boolean): number {
    return hasOrganisations ? watchWaitMs.withOrganisations : watchWaitMs.usual;
}

/**
 * The age of the conductor's proof that is sent to a host whose pull arrived at `arrivedAt`. It counts up to the arrival and not
 * up to the answer: the pull was sent before it arrived, so the proof that the host takes, the time of its sending less this age,
 * is no later than `provenAt`. The wait for a change adds nothing. A proof from after the arrival proves the time of the sending.
 */
export function proofAgeAtArrival(arrivedAt: Instant, provenAt: Instant | undefined): number | undefined {
    return provenAt === undefined ? undefined : Math.max(0, arrivedAt - provenAt);
}

/** What a host has of a process of the conductor: the claim's fencing token, and the revision of the configuration. */
export interface PulledConfig {
    readonly fence: KeyRevision | undefined;
    readonly config: ConfigRevision | undefined;
}

/**
 * The revision of the configuration that an answer of the conductor is about. `offered` is what the pull named; an answer without
 * content is about that, if it comes from the same process. Undefined if it is not known.
 */
export function configOfAnswer(
    { fence, content }: Pick<ConductorView, "fence" | "content">,
    offered: PulledConfig | undefined,
): ConfigRevision | undefined {
    if (content !== undefined) {
        return content.operator.config?.revision;
    }
    return fence !== undefined && fence === offered?.fence ? offered.config : undefined;
}

/**
 * The proof that the answer to a pull gives for the configuration of revision `held`, or undefined if it gives none. The pull
 * was sent at `pulledAt`; the conductor's answer is about the configuration of revision `answered`, and states the age of its
 * proof at the arrival of the pull or later.
 */
export function provenByAnswer(
    pulledAt: Instant,
    proofAgeMs: number | undefined,
    answered: ConfigRevision | undefined,
    held: ConfigRevision | undefined,
): Instant | undefined {
    const isSame = answered !== undefined && answered === held;
    // An age below 0 would prove a time after the pull.
    return isSame && proofAgeMs !== undefined && proofAgeMs >= 0 ? after(pulledAt, -proofAgeMs) : undefined;
}

/**
 * Whether the configuration that a conductor passed on may have organisations that it left out, as earlier software does; the
 * host reads the documents once for each such revision. `readRevision` is the newest one that this host read itself.
 */
export function mayLackOrganisations(
    config: RouteConfig | undefined,
    proofAgeMs: number | undefined,
    readRevision: ConfigRevision | undefined,
): boolean {
    return config !== undefined && config.organisations === undefined && proofAgeMs === undefined
        && config.revision > (readRevision ?? -1);
}

/** Inputs of `shouldProveConfig`. */
export interface ProofState {
    readonly now: Instant;
    readonly provenAt: Instant | undefined;
    /** Milliseconds within which a revoked credential must be refused; undefined if that is not demanded. */
    readonly revocationMs: number | undefined;
    /** Whether the configuration in force may lack organisations. */
    readonly isPartial: boolean;
    /** When the host's last own read of the operators' documents began. */
    readonly lastReadAt: Instant;
}

/** Whether a proof is older than usual, so that one from elsewhere is needed; never where revocation is not strict. */
export function isProofAgeing(now: Instant, provenAt: Instant | undefined, revocationMs: number | undefined): boolean {
    return revocationMs !== undefined && (provenAt === undefined || now - provenAt > provenShare * revocationMs);
}

/** Whether a host that does not conduct reads the operators' documents itself to prove its configuration. */
export function shouldProveConfig({ now, provenAt, revocationMs, isPartial, lastReadAt }: ProofState): boolean {
    return (isPartial || isProofAgeing(now, provenAt, revocationMs)) && now - lastReadAt >= proofReadIntervalMs;
}
