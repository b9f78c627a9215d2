/** Tests that the users' different weighting changes what the system does with the same load. */

import { expect } from "chai";
import { type ConfigDocument } from "../config/ConfigDocument.js";
import { type CallerId, type Incarnation, type Instant, type RequestId, type TargetId, type ZoneId } from "../ids.js";
import { Router } from "../routing/Router.js";
import { type TargetView } from "../routing/TargetView.js";
import { type Work, type WorkClass } from "../routing/Work.js";
import { generateConfig } from "./generateConfig.js";
import { type Questionnaire, type QuestionnaireInput } from "./Questionnaire.js";

const now = 1_000_000 as Instant;
const slots = 8;

function answersFixture(mattersMost: Questionnaire["matters_most"]): QuestionnaireInput {
    const callers = [{ name: "someone", token_sha256: "0".repeat(64) }];
    return {
        name: "yard",
        trade: "Kerb stone.",
        matters_most: mattersMost,
        places: [{ name: "leon" }],
        workers: [{ name: "model", does: "writes-with-a-model", count: 1, requests_at_once: slots }],
        trainings: [{
            name: "training",
            model_workers: "model",
            step_whole_within: "40 min",
            late_step_costs: 60,
            versions_behind: 2,
            trainers: callers,
        }],
        desks: [{ name: "desk", written_by: "model", answer_within: "2 s", late_answer_costs: 25, callers }],
    };
}

function viewFixture(doc: ConfigDocument): TargetView {
    const pool = doc.pools[0]!;
    return {
        target: "t1" as TargetId,
        kind: "engine",
        pool: pool.pool,
        zone: "leon" as ZoneId,
        url: "http://127.0.0.1:1",
        incarnation: 1 as Incarnation,
        leaving: false,
        reachable: true,
        inFlight: 0,
        inFlightElsewhere: 0,
        slots: pool.slotsPerTarget,
        version: undefined,
        versionWhole: true,
        paceMs: undefined,
        seenAt: now,
    };
}

function workFixture(doc: ConfigDocument, id: string, workClass: WorkClass): Work {
    const service = doc.services[workClass === "answer" ? 1 : 0]!;
    return {
        id: id as RequestId,
        pool: service.enginePool!,
        caller: "someone" as CallerId,
        workClass,
        policy: service.policy,
        arrivedAt: now,
        deadline: now + service.answerWithinMs as Instant,
        lateCost: service.lateCost,
        expectedTokens: undefined,
        prefix: undefined,
        lowestVersion: undefined,
        excluded: [],
    };
}

/** Fills an engine with samples while answers are about, and returns how many samples run at once. */
function samplesRunningBesideAnswers(mattersMost: Questionnaire["matters_most"]): number {
    const doc = generateConfig(answersFixture(mattersMost), 1, "op").unsafeCoerce();
    const router = new Router(() => 0.5);
    const { pool, reserveShortShare, hedgeBudget } = doc.pools[0]!;
    router.configure(pool, { reserveShortShare, hedgeBudget });
    router.setTargetView(viewFixture(doc));
    router.submit(workFixture(doc, "answer", "answer"), now);
    router.next(now);
    router.recordEnd("answer" as RequestId, { ok: true, tokens: 5 }, now);
    for (let nth = 0; nth < 2 * slots; nth++) {
        router.submit(workFixture(doc, `sample-${nth}`, "sample"), now);
    }
    let started = 0;
    while (router.next(now) !== undefined) {
        started++;
    }
    return started;
}

describe("the weighting of a questionnaire", () => {
    it("keeps slots free for waiting people, or gives every slot to training", () => {
        expect(samplesRunningBesideAnswers("people-waiting")).to.equal(6);
        expect(samplesRunningBesideAnswers("both")).to.equal(7);
        expect(samplesRunningBesideAnswers("training")).to.equal(8);
    });

    it("lets a swap of weights take more engines at a time where training matters most", () => {
        const shareOf = (mattersMost: Questionnaire["matters_most"]): number =>
            generateConfig(answersFixture(mattersMost), 1, "op").unsafeCoerce().pools[0]!.minServingShare;
        expect(shareOf("training")).to.be.below(shareOf("people-waiting"));
    });
});
