/** Pairs of promise and failure that do not apply, each with the reason as the page of proofs shows it. */

import { type ProofPair } from "./proofMatrix.js";

const noPlatform = "the mechanism makes no call to the key-value service";
const noOperator = "operators change the configuration only";

export const notApplicable: Readonly<Partial<Record<ProofPair, string>>> = {
    "@version-truth @operator-race": noOperator,
    "@version-truth @kv-lost-answer": noPlatform,
    "@exactly-once @kv-lost-answer": noPlatform,
    "@exactly-once @kv-slow": noPlatform,
    "@exactly-once @operator-race": noOperator,
    "@exactly-once @partial-swap": "delivery does not depend on weights; see @version-truth",
    "@staleness-bound @operator-race": noOperator,
    "@staleness-bound @kv-lost-answer": noPlatform,
    "@whole-answer @kv-outage": noPlatform,
    "@whole-answer @kv-slow": noPlatform,
    "@whole-answer @kv-lost-answer": noPlatform,
    "@whole-answer @operator-race": noOperator,
    "@whole-answer @lease-lapse": "no lease stands behind an answer",
    "@not-run-true @operator-race": noOperator,
    "@not-run-true @partial-swap": "plain services have no weights; engine work is idempotent",
    "@not-run-true @lease-lapse": "no lease stands behind the right to run",
    "@at-most-once @operator-race": noOperator,
    "@at-most-once @partial-swap": "plain services have no weights; engine work is idempotent",
    "@at-most-once @lease-lapse": "no lease stands behind the right to run",
    "@drain @kv-slow": noPlatform,
    "@drain @kv-lost-answer": noPlatform,
    "@drain @operator-race": "the fact that a target leaves only grows; the order of two drains does not matter",
    "@drain @lease-lapse": "no lease stands behind a drain",
    "@graceful-shutdown @operator-race": noOperator,
    "@graceful-shutdown @partial-swap": "a stop orders no weights",
    "@config-forward @partial-swap": "the configuration orders no weights",
    "@config-forward @late-answer": "replayed events stand under @kv-lost-answer and @twice",
    "@config-forward @lease-lapse": "no lease stands behind the configuration",
};
