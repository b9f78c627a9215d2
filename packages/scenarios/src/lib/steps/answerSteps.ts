/** Steps about callers that request quotes and completions, and about access to the steps of another trainer. */

import { TrainerClient } from "@tamarackpath/client";
import { type Problem } from "@tamarackpath/core";
import { fleetService, fleetToken } from "@tamarackpath/standins";
import { expect } from "chai";
import { type Either } from "purify-ts";
import { openCompletion } from "../CompletionReader.js";
import { type DeskFixture } from "../DeskFixture.js";
import { waitUntil } from "../FleetFixture.js";
import { type StepTable } from "../StepTable.js";

interface Quote {
    readonly echo: string;
}

export const answerSteps: StepTable<DeskFixture> = {
    "a desk with {int} plain targets whose network can be cut": (fixture, [targets]) =>
        fixture.startDesk(Number(targets), 0, 5000, { hasRelays: true }),
    "one target answers {int} milliseconds late": (fixture, [ms]) => {
        fixture.fleet.plain[0]!.standIn.faults.delayMs = Number(ms);
    },
    "{int} quotes are requested through every host": (fixture, [count]) => {
        for (const { host } of fixture.fleet.daemons) {
            const client = fixture.client(host);
            for (let nth = 0; nth < Number(count); nth++) {
                const echo = `${host}-${nth}`;
                fixture.quotes.set(echo, client.call(`/quotes/gravel?echo=${echo}`));
            }
        }
    },
    "every quote is answered whole and to its own caller": async fixture => {
        for (const [echo, answer] of fixture.quotes) {
            const quote = (await answer as Either<Problem, Quote>).mapLeft(JSON.stringify);
            expect(quote.map(({ echo: echoed }) => echoed).swap().toMaybe().extract(), echo).to.equal(undefined);
            expect(quote.unsafeCoerce().echo).to.equal(echo);
        }
        fixture.quotes.clear();
    },
    "every quote is refused as {string}": async (fixture, [type]) => {
        for (const answer of fixture.quotes.values()) {
            expect((await answer).swap().toMaybe().extract()?.type).to.equal(type);
        }
        fixture.quotes.clear();
    },
    "every target truncates its answers": fixture => {
        fixture.fleet.plain.forEach(({ standIn }) => standIn.faults.cutBodies = 1000);
    },
    "the open connections to the targets carry no more data": async fixture => {
        for (const { host } of fixture.fleet.daemons) {
            for (const { id } of fixture.fleet.plain) {
                await fixture.fleet.stallConnections(host, id);
            }
        }
    },
    "completion {word} of {int} tokens is streamed through {word}": (fixture, [name, tokens, host]) => {
        const url = `${fixture.fleet.daemon(host!).callerUrl}/v1/services/${fleetService.desk}/completions`;
        fixture.completions.set(name!, openCompletion(url, fleetToken.desk, Number(tokens)));
    },
    "completion {word} has begun": (fixture, [name]) =>
        waitUntil("the first chunk of the stream arrives", () => fixture.completion(name!).read.chunks > 0),
    "the engines break off each stream after {int} tokens": (fixture, [tokens]) => {
        fixture.fleet.engines.forEach(({ standIn }) => standIn.faults.cutAfterTokens = Number(tokens));
    },
    "one engine breaks off each stream after {int} tokens": (fixture, [tokens]) => {
        fixture.fleet.engines[0]!.standIn.faults.cutAfterTokens = Number(tokens);
    },
    "the engines refuse every request": fixture =>
        fixture.fleet.engines.forEach(({ standIn }) => standIn.faults.refuse = true),
    "the caller disconnects from completion {word}": (fixture, [name]) => fixture.completion(name!).disconnect(),
    "the engines have cancelled {int} streams": (fixture, [count]) =>
        waitUntil("the engines have cancelled the streams", () => {
            const cancelled = fixture.fleet.engines.map(({ standIn }) => standIn.stats.cancelled);
            return cancelled.reduce((sum, each) => sum + each, 0) === Number(count);
        }),
    "completion {word} ends whole": async (fixture, [name]) => {
        const { ended, read } = fixture.completion(name!);
        await ended;
        expect(read).to.include({ error: undefined, isDone: true });
    },
    "completion {word} ends with the error {string}": async (fixture, [name, error]) => {
        const { ended, read } = fixture.completion(name!);
        await ended;
        expect(read).to.include({ error, isDone: false });
    },
    "another trainer can neither read, pull nor cancel step {word}": async (fixture, [step]) => {
        for (const url of fixture.fleet.urls()) {
            const other = new TrainerClient({
                urls: [url],
                service: fleetService.rollout,
                token: fleetToken.otherTrainer,
                pullWaitMs: 0,
            });
            const answers = [await other.status(step!), await other.pull(step!, undefined), await other.cancel(step!)];
            expect(answers.map(answer => answer.isLeft())).to.deep.equal([true, true, true]);
        }
    },
};
