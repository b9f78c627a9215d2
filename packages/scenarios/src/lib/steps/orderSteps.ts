/** Steps about callers that place orders, which are not idempotent and must not be repeated. */

import { expect } from "chai";
import { type DeskFixture } from "../DeskFixture.js";
import { waitUntil } from "../FleetFixture.js";
import { type StepTable } from "../StepTable.js";

export const orderSteps: StepTable<DeskFixture> = {
    "a desk with {int} plain targets and {int} engines": (fixture, [targets, engines]) =>
        fixture.startDesk(Number(targets), Number(engines), 5000),
    "call {word} sends order {word} through {word} with key {word}": (fixture, [call, order, host, key]) =>
        fixture.order(call!, order!, host!, { idempotencyKey: fixture.key(key!) }),
    "call {word} sends order {word} through {word} with key {word} for {int} milliseconds": (
        fixture,
        [call, order, host, key, ms],
    ) => fixture.order(call!, order!, host!, { idempotencyKey: fixture.key(key!) }, Number(ms)),
    "{word} issues ticket {word}": async (fixture, [host, ticket]) => {
        const issued = await fixture.client(host!).ticket();
        fixture.tickets.set(ticket!, issued.unsafeCoerce().ticket);
    },
    "call {word} sends order {word} through {word} with ticket {word}": (fixture, [call, order, host, ticket]) =>
        fixture.order(call!, order!, host!, { ticket: fixture.tickets.get(ticket!) }),
    "the planner sends call {word} with order {word} and key {word} through {word}": (
        fixture,
        [call, order, key, host],
    ) => {
        const options = { method: "POST" as const, body: { order }, idempotencyKey: fixture.key(key!) };
        fixture.answers.set(call!, fixture.client(host!, "planner").call("/orders", options));
    },
    "the planner sends call {word} with order {word} and ticket {word} through {word}": (
        fixture,
        [call, order, ticket, host],
    ) => {
        const options = { method: "POST" as const, body: { order }, ticket: fixture.tickets.get(ticket!) };
        fixture.answers.set(call!, fixture.client(host!, "planner").call("/orders", options));
    },
    "call {word} confirms order {word}": async (fixture, [call, order]) => {
        const answer = await fixture.answer(call!);
        expect(answer.toJSON()).to.deep.equal({ order, confirmed: true });
    },
    "call {word} is answered": async (fixture, [call]) => void await fixture.answer(call!),
    "order {word} is eventually confirmed through {word} with key {word}": (fixture, [order, host, key]) =>
        waitUntil("the order is confirmed", async () => {
            fixture.order("at-last", order!, host!, { idempotencyKey: fixture.key(key!) });
            return (await fixture.answer("at-last")).isRight();
        }),
    "the answer to call {word} says {string}": async (fixture, [call, run]) => {
        const answer = await fixture.answer(call!);
        expect(answer.swap().toMaybe().extract()?.run, JSON.stringify(answer)).to.equal(run);
    },
    "call {word} is refused as {string}": async (fixture, [call, type]) => {
        const answer = await fixture.answer(call!);
        expect(answer.swap().toMaybe().extract()?.type, JSON.stringify(answer)).to.equal(type);
    },
    "call {word} can be retried": async (fixture, [call]) => {
        const answer = await fixture.answer(call!);
        expect(answer.swap().toMaybe().extract()?.retry.allowed).to.equal(true);
    },
    "order {word} reaches a target": (fixture, [order]) =>
        waitUntil("a target runs the order", () => fixture.runsOf(order!) > 0),
    "order {word} ran {int} times": (fixture, [order, times]) => {
        expect(fixture.runsOf(order!)).to.equal(Number(times));
    },
    "a claim has the state {string}": (fixture, [state]) =>
        waitUntil("a claim has the expected state", () => fixture.claims().some(claim => claim.state === state)),
};

export const faultSteps: StepTable<DeskFixture> = {
    "the targets answer {int} milliseconds late": (fixture, [ms]) => {
        fixture.fleet.plain.forEach(({ standIn }) => standIn.faults.delayMs = Number(ms));
    },
    "the targets refuse every request": fixture =>
        fixture.fleet.plain.forEach(({ standIn }) => standIn.faults.refuse = true),
    "the targets have no faults": fixture => {
        fixture.fleet.plain.forEach(({ standIn }) =>
            Object.assign(standIn.faults, { delayMs: 0, refuse: false, busyAfterRun: false, silent: false })
        );
    },
    "the targets answer 503 after they ran a request": fixture => {
        fixture.fleet.plain.forEach(({ standIn }) => standIn.faults.busyAfterRun = true);
    },
    "the targets lose their next answer": fixture => {
        fixture.fleet.plain.forEach(({ standIn }) => standIn.faults.loseAnswers = 1);
    },
    "the targets truncate their next answer": fixture => {
        fixture.fleet.plain.forEach(({ standIn }) => standIn.faults.cutBodies = 1);
    },
    "one target truncates its next answers": fixture => {
        fixture.fleet.plain[0]!.standIn.faults.cutBodies = 1000;
    },
    "every connection to the targets is reset": fixture => {
        fixture.fleet.plain.forEach(({ standIn }) => standIn.server.resetConnections());
    },
    "the key-value service delays its answers to writes by {int} milliseconds": (fixture, [ms]) => {
        fixture.fleet.keyValue.faults.delayAnswersMs = Number(ms);
    },
    "the key-value service delays every call by {int} milliseconds": (fixture, [ms]) => {
        fixture.fleet.keyValue.faults.delayMs = Number(ms);
    },
    "the key-value service loses its next {int} answers": (fixture, [count]) => {
        fixture.fleet.keyValue.faults.loseAnswers = Number(count);
    },
};
