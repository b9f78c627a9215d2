/** Steps of callers who ask for quotes and completions, and of callers who meddle with each other. */

import { TrainerClient } from "@tamarackpath/client";
import { type Problem } from "@tamarackpath/core";
import { fleetService, fleetToken } from "@tamarackpath/standins";
import { expect } from "chai";
import { type Either } from "purify-ts";
import { openCompletion } from "../CompletionReader.js";
import { type DeskWorld } from "../DeskWorld.js";
import { eventually } from "../FleetWorld.js";
import { type StepTable } from "../StepTable.js";

interface Quote {
    readonly echo: string;
}

export const answerSteps: StepTable<DeskWorld> = {
    "a desk with {int} plain targets whose network can be cut": (world, [targets]) =>
        world.startDesk(Number(targets), 0, 5000, { cuttable: true }),
    "one target answers {int} milliseconds late": (world, [ms]) => {
        world.fleet.plain[0]!.standIn.faults.delayMs = Number(ms);
    },
    "{int} quotes are asked for through every host": (world, [count]) => {
        for (const { host } of world.fleet.daemons) {
            const client = world.client(host);
            for (let nth = 0; nth < Number(count); nth++) {
                const echo = `${host}-${nth}`;
                world.quotes.set(echo, client.call(`/quotes/gravel?echo=${echo}`));
            }
        }
    },
    "every quote is answered whole and to its own caller": async world => {
        for (const [echo, answer] of world.quotes) {
            const quote = (await answer as Either<Problem, Quote>).mapLeft(JSON.stringify);
            expect(quote.map(({ echo: echoed }) => echoed).swap().toMaybe().extract(), echo).to.equal(undefined);
            expect(quote.unsafeCoerce().echo).to.equal(echo);
        }
        world.quotes.clear();
    },
    "every quote is refused as {string}": async (world, [type]) => {
        for (const answer of world.quotes.values()) {
            expect((await answer).swap().toMaybe().extract()?.type).to.equal(type);
        }
        world.quotes.clear();
    },
    "every target cuts its answers short": world => {
        world.fleet.plain.forEach(({ standIn }) => standIn.faults.cutBodies = 1000);
    },
    "the open connections to the targets go silent": async world => {
        for (const { host } of world.fleet.daemons) {
            for (const { id } of world.fleet.plain) {
                await world.fleet.stallConnections(host, id);
            }
        }
    },
    "completion {word} of {int} tokens is streamed through {word}": (world, [name, tokens, host]) => {
        const url = `${world.fleet.daemon(host!).callerUrl}/v1/services/${fleetService.desk}/completions`;
        world.completions.set(name!, openCompletion(url, fleetToken.desk, Number(tokens)));
    },
    "completion {word} has begun": (world, [name]) =>
        eventually("The stream", () => world.completion(name!).read.chunks > 0),
    "the engines cut each stream after {int} tokens": (world, [tokens]) => {
        world.fleet.engines.forEach(({ standIn }) => standIn.faults.cutAfterTokens = Number(tokens));
    },
    "one engine cuts each stream after {int} tokens": (world, [tokens]) => {
        world.fleet.engines[0]!.standIn.faults.cutAfterTokens = Number(tokens);
    },
    "the engines refuse": world => world.fleet.engines.forEach(({ standIn }) => standIn.faults.refuse = true),
    "the caller leaves completion {word}": (world, [name]) => world.completion(name!).leave(),
    "the engines have cancelled {int} streams": (world, [count]) =>
        eventually("The cancelling", () => {
            const cancelled = world.fleet.engines.map(({ standIn }) => standIn.stats.cancelled);
            return cancelled.reduce((sum, each) => sum + each, 0) === Number(count);
        }),
    "completion {word} ends whole": async (world, [name]) => {
        const { ended, read } = world.completion(name!);
        await ended;
        expect(read).to.include({ error: undefined, isDone: true });
    },
    "completion {word} ends with the error {string}": async (world, [name, error]) => {
        const { ended, read } = world.completion(name!);
        await ended;
        expect(read).to.include({ error, isDone: false });
    },
    "another trainer can neither read, pull nor cancel step {word}": async (world, [step]) => {
        for (const url of world.fleet.urls()) {
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
