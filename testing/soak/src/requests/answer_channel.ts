/** What an entry sends to one caller, or to an entry that passed a request on. */

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
  readonly relayed: boolean;
}

const LOAD = { inFlight: 0, queued: 0, cachedTokens: 0 };

export class AnswerChannel {
  readonly #world: World;
  readonly #options: ChannelOptions;
  #order = 0;
  #dataCount = 0;
  #ended = false;

  constructor(world: World, options: ChannelOptions) {
    this.#world = world;
    this.#options = options;
  }

  beat(): void {
    const { relayed, callerId, from, to } = this.#options;
    if (!relayed || this.#ended) return;
    const frame = { type: "heartbeat", attemptId: callerId } as const;
    this.#world.queue.post({ from, to }, { type: "frame", frame });
  }

  send(effect: ChannelEffect): void {
    const final = effect.type === "sendEnd" || effect.type === "sendOutcome";
    if (final) {
      this.#world.check("oneOutcomeForEachCaller", {
        holds: !this.#ended,
        detail: this.#options.callerId,
      });
      this.#ended = true;
    }
    if (this.#options.relayed) this.#sendFrame(effect);
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
        const sequence = this.#dataCount++;
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
    const order = this.#order++;
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
