/** Router that an agent serves to the entries. */

import type { AnswerKeys } from "@dandelionbank/admit-attempts";
import type { AgentStatus, AgentView } from "@dandelionbank/types";
import { initTRPC } from "@trpc/server";
import * as v from "valibot";

export interface AgentHandlers {
  /** Applies the entry's view if it is newer than the current one. */
  applyView(view: AgentView): AgentStatus;
  readStatus(): AgentStatus;
  /**
   * Reports what the agent knows of the keys whose home entries' incarnations
   * were closed.
   */
  askKeys(incarnations: readonly string[]): Promise<AnswerKeys>;
}

export type AgentRouter = ReturnType<typeof createAgentRouter>;

const NON_EMPTY_TEXT = v.pipe(v.string(), v.minLength(1));
const DURATION_MS = v.pipe(v.number(), v.minValue(0));
const AGENT_VIEW_SCHEMA = v.object({
  entry: NON_EMPTY_TEXT,
  entryIncarnation: NON_EMPTY_TEXT,
  revision: v.pipe(v.number(), v.integer(), v.minValue(0)),
  stop: v.optional(
    v.object({
      target: NON_EMPTY_TEXT,
      reason: v.string(),
      requestedBy: v.string(),
    }),
  ),
  isLeaving: v.boolean(),
  closings: v.array(
    v.object({
      entry: NON_EMPTY_TEXT,
      incarnation: NON_EMPTY_TEXT,
      successor: NON_EMPTY_TEXT,
    }),
  ),
  progressTimeoutMs: DURATION_MS,
  drainTimeoutMs: DURATION_MS,
});

export function createAgentRouter(handlers: AgentHandlers) {
  const trpc = initTRPC.create();
  return trpc.router({
    applyView: trpc.procedure
      .input(AGENT_VIEW_SCHEMA)
      .mutation(({ input }) => handlers.applyView(input)),
    readStatus: trpc.procedure.query(() => handlers.readStatus()),
    askKeys: trpc.procedure
      .input(v.object({ incarnations: v.array(NON_EMPTY_TEXT) }))
      .mutation(({ input }) => handlers.askKeys(input.incarnations)),
  });
}
