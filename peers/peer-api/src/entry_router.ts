/** What an entry answers other entries. */

import type { TargetLoss } from "@dandelionbank/quarantine-requests";
import type { StatusReport } from "@dandelionbank/types";
import { initTRPC } from "@trpc/server";
import * as v from "valibot";

export interface EntryHandlers {
  readStatus(): StatusReport;
  ping(): EntryPing;
  /** What another entry lost with a target. */
  applyRemoteLosses(losses: readonly TargetLoss[]): void;
  /** What another entry refuses from now on. */
  applyRemoteQuarantine(fingerprint: string): void;
}

export interface EntryPing {
  readonly incarnation: string;
  readonly viewRevision: number;
}

const TEXT = v.pipe(v.string(), v.minLength(1), v.maxLength(256));
const LOSSES_SCHEMA = v.array(
  v.object({ fingerprint: TEXT, target: TEXT, alone: v.boolean() }),
);

export type EntryRouter = ReturnType<typeof createEntryRouter>;

export function createEntryRouter(handlers: EntryHandlers) {
  const trpc = initTRPC.create();
  return trpc.router({
    ping: trpc.procedure.query(() => handlers.ping()),
    takeLosses: trpc.procedure
      .input(LOSSES_SCHEMA)
      .mutation(({ input }) => handlers.applyRemoteLosses(input)),
    takeQuarantine: trpc.procedure
      .input(TEXT)
      .mutation(({ input }) => handlers.applyRemoteQuarantine(input)),
    readStatus: trpc.procedure.query(() => handlers.readStatus()),
  });
}
