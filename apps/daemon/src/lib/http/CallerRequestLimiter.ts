/** Limits the open requests of each caller on this host, so that one caller cannot use all of its capacity. */

import { type CallerId, type Problem, problem, type ServiceConfig } from "@tamarackpath/core";
import { type Response } from "express";
import { type Either, Left, Right } from "purify-ts";

/** Counts the open requests of each caller. */
export class CallerRequestLimiter {
    private readonly counts = new Map<string, number>();

    /** Counts a request until its response closes; Left when the caller has too many open requests. */
    open(service: ServiceConfig, caller: CallerId, res: Response): Either<Problem, void> {
        const name = `${service.service}/${caller}`;
        const count = this.counts.get(name) ?? 0;
        const limit = service.limits.openStreamsPerCaller;
        if (count >= limit) {
            return Left(problem("too-many-requests", `The caller has ${limit} requests open, which is the limit.`, {
                retry: { allowed: true },
            }));
        }
        this.counts.set(name, count + 1);
        res.once("close", () => this.close(name));
        return Right(undefined);
    }

    private close(name: string): void {
        const left = (this.counts.get(name) ?? 1) - 1;
        if (left === 0) {
            this.counts.delete(name);
            return;
        }
        this.counts.set(name, left);
    }
}
