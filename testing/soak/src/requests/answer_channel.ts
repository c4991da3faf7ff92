/** Sends an answer from an entry to a caller or to the entry that relayed the request. */

import type { TrackEffect } from "@dandelionbank/track-requests";
import type { ReplyMessage } from "./messages.ts";
import type { World } from "./world.ts";

export type ChannelEffect = Extract<
  TrackEffect,
  { type: "sendHead" | "sendData" | "sendEnd" | "sendOutcome" }
>;

export interface ChannelOptions {
  readonly callerId: string;
  readonly from: string;
  readonly to: string;
  readonly isRelayed: boolean;
}

const LOAD = { inFlight: 0, queued: 0, cachedTokens: 0 };

export class AnswerChannel {
  readonly #world: World;
  readonly #options: ChannelOptions;
  #nextOrder = 0;
  #nextSequence = 0;
  #hasEnded = false;

  constructor(world: World, options: ChannelOptions) {
    this.#world = world;
    this.#options = options;
  }

  sendHeartbeat(): void {
    const { isRelayed, callerId, from, to } = this.#options;
    if (!isRelayed || this.#hasEnded) return;
    const frame = { type: "heartbeat", attemptId: callerId } as const;
    this.#world.queue.post({ from, to }, { type: "frame", frame });
  }

  send(effect: ChannelEffect): void {
    const isFinal = effect.type === "sendEnd" || effect.type === "sendOutcome";
    if (isFinal) {
      this.#world.checkInvariant("oneOutcomeForEachCaller", {
        holds: !this.#hasEnded,
        detail: this.#options.callerId,
      });
      this.#hasEnded = true;
    }
    if (this.#options.isRelayed) this.#sendFrame(effect);
    else this.#sendReply(effect);
  }

  #sendFrame(effect: ChannelEffect): void {
    const { callerId: attemptId, from, to } = this.#options;
    const frame = this.#toFrame(effect, attemptId);
    this.#world.queue.post({ from, to }, { type: "frame", frame });
  }

  #toFrame(effect: ChannelEffect, attemptId: string) {
    switch (effect.type) {
      case "sendHead": {
        const { status, contentType, encoding } = effect;
        return {
          type: "head",
          attemptId,
          status,
          contentType,
          encoding,
        } as const;
      }
      case "sendData": {
        const sequence = this.#nextSequence++;
        return {
          type: "data",
          attemptId,
          sequence,
          data: effect.data,
        } as const;
      }
      case "sendEnd": {
        const { lengthBytes, digest } = effect;
        const end = { lengthBytes, digest, load: LOAD };
        return { type: "end", attemptId, ...end } as const;
      }
      case "sendOutcome":
        return { type: "outcome", attemptId, outcome: effect.outcome } as const;
    }
  }

  #sendReply(effect: ChannelEffect): void {
    const { callerId, from, to } = this.#options;
    const order = this.#nextOrder++;
    const part = toPart(effect);
    this.#world.queue.post({ from, to }, {
      type: "reply",
      callerId,
      order,
      part,
    });
  }
}

function toPart(effect: ChannelEffect): ReplyMessage["part"] {
  switch (effect.type) {
    case "sendHead":
      return { kind: "head" };
    case "sendData":
      return { kind: "data", data: effect.data };
    case "sendEnd":
      return { kind: "end" };
    case "sendOutcome":
      return { kind: "outcome", outcome: effect.outcome };
  }
}
