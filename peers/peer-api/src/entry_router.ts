/** Router that an entry serves to the other entries. */

import type { TargetLoss } from "@dandelionbank/quarantine-requests";
import type { StatusReport } from "@dandelionbank/types";
import { initTRPC } from "@trpc/server";
import * as v from "valibot";

export interface EntryHandlers {
  readStatus(): StatusReport;
  ping(): EntryPing;
  /** Applies losses that another entry observed when a target went down. */
  applyRemoteLosses(losses: readonly TargetLoss[]): void;
  /** Applies the quarantine of a fingerprint that another entry started. */
  applyRemoteQuarantine(fingerprint: string): void;
}

export interface EntryPing {
  readonly incarnation: string;
  readonly viewRevision: number;
}

const SHORT_TEXT = v.pipe(v.string(), v.minLength(1), v.maxLength(256));
const LOSSES_SCHEMA = v.array(
  v.object({ fingerprint: SHORT_TEXT, target: SHORT_TEXT, alone: v.boolean() }),
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
      .input(SHORT_TEXT)
      .mutation(({ input }) => handlers.applyRemoteQuarantine(input)),
    readStatus: trpc.procedure.query(() => handlers.readStatus()),
  });
}
