/** The target behind an agent of the soak `requests`, and its calls. */

import type { AdmitEvent } from "@dandelionbank/admit-attempts";
import type { AttemptFrame } from "@dandelionbank/types";
import { createTextDigest } from "./text_digest.ts";
import { answerParts, type Operation, type World } from "./world.ts";

export const LOAD = { inFlight: 0, queued: 0, cachedTokens: 0 };

/** Share of calls that a target fails before it begins, midway, or stalls in. */
const FAILS_BEFORE = 0.03;
const FAILS_MIDWAY = 0.03;
const STALLS = 0.04;
const STALL_MS = 2_500;

/** A frame without the attempt that it answers. */
export type FrameBody = AttemptFrame extends infer Frame
  ? Frame extends AttemptFrame ? Omit<Frame, "attemptId"> : never
  : never;

/** What an attempt asks to be run, and under which key or request. */
export interface Work {
  readonly operationId: string;
  readonly scope: string;
}

/** The agent in front of the target. */
export interface CallingAgent {
  readonly name: string;
  readonly answer: (attemptId: string, body: FrameBody) => void;
  readonly feed: (event: AdmitEvent) => void;
}

/** One call on the target, and the attempts that get its frames. */
interface Call {
  readonly frames: FrameBody[];
  readonly listeners: Set<string>;
  open: boolean;
}

export class TargetCalls {
  readonly #world: World;
  readonly #agent: CallingAgent;
  readonly #calls = new Map<string, Call>();

  constructor(world: World, agent: CallingAgent) {
    this.#world = world;
    this.#agent = agent;
  }

  get isIdle(): boolean {
    return ![...this.#calls.values()].some(({ open }) => open);
  }

  beat(): void {
    for (const call of this.#calls.values()) {
      if (call.open) this.#sendFrame(call, { type: "heartbeat" });
    }
  }

  /** An attempt's connection is gone. */
  leave(attemptId: string): void {
    for (const [answeredBy, call] of this.#calls) {
      if (!call.listeners.delete(attemptId)) continue;
      this.#agent.feed({ type: "listenerDisconnected", attemptId, answeredBy });
    }
  }

  forget(attemptId: string): void {
    this.#calls.delete(attemptId);
  }

  cancel(attemptId: string): void {
    this.#endCall(attemptId, failedBody("cancelled", true));
  }

  run(attemptId: string, work: Work | undefined): void {
    const operation = this.#world.operations.get(work?.operationId ?? "");
    if (operation === undefined || work === undefined) {
      return this.#world.violate("runHasOperation", attemptId);
    }
    const call: Call = {
      frames: [{ type: "admitted", answeredBy: attemptId }],
      listeners: new Set([attemptId]),
      open: true,
    };
    this.#calls.set(attemptId, call);
    this.#sendFrame(call, call.frames[0]!);
    this.#later(() => this.#begin({ attemptId, operation, scope: work.scope }));
  }

  #begin(
    begun: { attemptId: string; operation: Operation; scope: string },
  ): void {
    const { attemptId, operation, scope } = begun;
    const { random, plan: { targetsFail } } = this.#world;
    if (this.#calls.get(attemptId)?.open !== true) return;
    if (targetsFail && random.chance(FAILS_BEFORE)) {
      this.#world.fault("targetFailsBefore");
      return this.#endCall(attemptId, failedBody("targetFailed", false));
    }
    const execution = this.#world.execute(operation, scope);
    if (operation.kills) return this.#crashTarget();
    const parts = answerParts(operation, execution);
    const digest = createTextDigest();
    parts.forEach((part) => digest.add(part, "utf8"));
    const bodies: FrameBody[] = [
      { type: "head", status: 200, contentType: "t", encoding: "utf8" },
      ...parts.map((data, sequence) =>
        ({ type: "data", sequence, data }) as const
      ),
    ];
    const { lengthBytes } = digest;
    const end = { lengthBytes, digest: digest.finish(), load: LOAD };
    this.#stream(attemptId, [...bodies, { type: "end", ...end }]);
  }

  /** The target's process dies with all that it runs, and is started again. */
  #crashTarget(): void {
    this.#world.fault("targetCrashed");
    for (const attemptId of [...this.#calls.keys()]) {
      this.#endCall(attemptId, failedBody("targetDied", true));
    }
  }

  #stream(attemptId: string, bodies: readonly FrameBody[]): void {
    const [body, ...rest] = bodies;
    const call = this.#calls.get(attemptId);
    if (body === undefined || call?.open !== true) return;
    const { random, plan: { targetsFail } } = this.#world;
    if (targetsFail && random.chance(FAILS_MIDWAY / 5)) {
      this.#world.fault("targetFailsMidway");
      return this.#endCall(attemptId, failedBody("targetFailed", true));
    }
    if (body.type === "end") return this.#endCall(attemptId, body);
    call.frames.push(body);
    this.#sendFrame(call, body);
    this.#later(() => this.#stream(attemptId, rest));
  }

  #endCall(attemptId: string, body: FrameBody): void {
    const call = this.#calls.get(attemptId);
    if (call?.open !== true) return;
    call.open = false;
    call.frames.push(body);
    this.#sendFrame(call, body);
    if (body.type === "end") {
      const answerBytes = body.lengthBytes;
      return this.#agent.feed({ type: "runEnded", attemptId, answerBytes });
    }
    const mayHaveRun = body.type !== "failed" || body.mayHaveRun;
    this.#calls.delete(attemptId);
    this.#agent.feed({ type: "runFailed", attemptId, mayHaveRun });
  }

  listen(effect: { attemptId: string; answeredBy: string }): void {
    const { attemptId, answeredBy } = effect;
    const call = this.#calls.get(answeredBy);
    if (call === undefined) {
      return this.#world.violate("answerIsKept", `${attemptId} ${answeredBy}`);
    }
    call.listeners.add(attemptId);
    for (const body of call.frames) this.#agent.answer(attemptId, body);
  }

  #sendFrame(call: Call, body: FrameBody): void {
    for (const attemptId of call.listeners) {
      this.#agent.answer(attemptId, body);
    }
  }

  #later(run: () => void): void {
    const { random, queue, plan: { targetsFail } } = this.#world;
    const stalls = targetsFail && random.chance(STALLS / 5);
    if (stalls) this.#world.fault("targetStalls");
    const { slowestPartMs } = this.#world;
    const delayMs = stalls ? STALL_MS : random.int(1, slowestPartMs);
    queue.startTimer(this.#agent.name, { delayMs, run });
  }
}

function failedBody(code: string, mayHaveRun: boolean): FrameBody {
  return { type: "failed", code, mayHaveRun, load: LOAD };
}
