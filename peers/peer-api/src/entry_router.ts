/** What an entry answers other entries. */

import type { StatusReport } from "@dandelionbank/types";
import { initTRPC } from "@trpc/server";

export interface EntryHandlers {
  readStatus(): StatusReport;
  ping(): EntryPing;
}

export interface EntryPing {
  readonly incarnation: string;
  readonly viewRevision: number;
}

export type EntryRouter = ReturnType<typeof createEntryRouter>;

export function createEntryRouter(handlers: EntryHandlers) {
  const trpc = initTRPC.create();
  return trpc.router({
    ping: trpc.procedure.query(() => handlers.ping()),
    readStatus: trpc.procedure.query(() => handlers.readStatus()),
  });
}
