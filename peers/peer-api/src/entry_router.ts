/** What an entry answers other entries. */

import type { EntryStatus } from "@dandelionbank/types";
import { initTRPC } from "@trpc/server";

export interface EntryHandlers {
  readStatus(): EntryStatus;
}

export type EntryRouter = ReturnType<typeof createEntryRouter>;

export function createEntryRouter(handlers: EntryHandlers) {
  const trpc = initTRPC.create();
  return trpc.router({
    readStatus: trpc.procedure.query(() => handlers.readStatus()),
  });
}
