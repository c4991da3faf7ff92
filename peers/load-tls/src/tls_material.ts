/**
 * The key and certificates that a process uses now. A replaced pair is taken
 * only as a whole and only if key and certificate fit each other.
 */

import { createError, type DandelionError } from "@dandelionbank/error";
import type { Logger } from "@dandelionbank/log-events";
import type { TlsSource } from "@dandelionbank/types";
import type { Server as HttpsServer } from "node:https";
import {
  type ConnectionOptions,
  createSecureContext,
  type SecureContextOptions,
  type Server as TlsServer,
  type TlsOptions,
} from "node:tls";
import {
  nameSource,
  type PemTexts,
  readPemTexts,
  readSignature,
} from "./pem_files.ts";

const DEFAULT_POLL_INTERVAL_MS = 5_000;

export interface TlsMaterialOptions {
  readonly source: TlsSource;
  readonly logger: Logger;
  /** How often replaced files are looked for. */
  readonly pollIntervalMs?: number;
}

export class TlsMaterial {
  readonly #source: TlsSource;
  readonly #logger: Logger;
  readonly #servers = new Set<TlsServer>();
  #timer: NodeJS.Timeout | undefined;
  #texts: PemTexts;
  #signature: string;
  /** Signature of the files that were last found unusable. */
  #refusedSignature: string | undefined;

  private constructor(
    { source, logger }: TlsMaterialOptions,
    { texts, signature }: LoadedTexts,
  ) {
    this.#source = source;
    this.#logger = logger;
    this.#texts = texts;
    this.#signature = signature;
  }

  /** Throws a `DandelionError` if a file is missing or the pair does not fit. */
  static async create(options: TlsMaterialOptions): Promise<TlsMaterial> {
    const { source, pollIntervalMs = DEFAULT_POLL_INTERVAL_MS } = options;
    const material = new TlsMaterial(options, await load(source));
    material.#timer = setInterval(
      () => void material.reloadIfChanged(),
      pollIntervalMs,
    ).unref();
    return material;
  }

  /** With an authority, a client without a certificate of it is refused. */
  createServerOptions(): TlsOptions {
    const isMutual = this.#texts.authority !== undefined;
    return {
      ...toContextOptions(this.#texts),
      requestCert: isMutual,
      rejectUnauthorized: isMutual,
    };
  }

  /** Options for one connection; ask again for the next. */
  createClientOptions(): ConnectionOptions {
    return { ...toContextOptions(this.#texts), rejectUnauthorized: true };
  }

  /** Gives the server each new pair, for its new connections. */
  attachServer(server: HttpsServer | TlsServer): void {
    this.#servers.add(server);
    server.once("close", () => this.#servers.delete(server));
  }

  /** Loads replaced files; says whether a new pair is in use. */
  async reloadIfChanged(): Promise<boolean> {
    const signature = await readSignature(this.#source);
    if (signature === this.#signature) return false;
    if (signature === this.#refusedSignature) return false;
    const path = nameSource(this.#source.certificate);
    try {
      const { texts } = await load(this.#source);
      this.#use({ texts, signature });
      this.#logger.log("tlsReloaded", { path });
      return true;
    } catch (error) {
      this.#refusedSignature = signature;
      const { message } = error as DandelionError;
      this.#logger.log("tlsReloadFailed", { path, message });
      return false;
    }
  }

  /** Stops looking for replaced files. */
  close(): void {
    clearInterval(this.#timer);
  }

  #use({ texts, signature }: LoadedTexts): void {
    this.#texts = texts;
    this.#signature = signature;
    this.#refusedSignature = undefined;
    for (const server of this.#servers) {
      server.setSecureContext(toContextOptions(texts));
    }
  }
}

interface LoadedTexts {
  readonly texts: PemTexts;
  readonly signature: string;
}

/** The signature is read first: a file replaced after it is found at the next look. */
async function load(source: TlsSource): Promise<LoadedTexts> {
  const signature = await readSignature(source);
  const texts = await readPemTexts(source);
  checkPair(source, texts);
  return { texts, signature };
}

function checkPair(source: TlsSource, texts: PemTexts): void {
  try {
    createSecureContext(toContextOptions(texts));
  } catch (cause) {
    throw createError("Key and certificates do not fit together", {
      code: "DANDELIONBANK_TLS_MISMATCH",
      step: "load TLS",
      peer: nameSource(source.certificate),
      hint: "Give a PEM key, its certificate and, if any, the authority",
      cause,
    });
  }
}

/** Callers bring clients of their own; among ourselves only the newest version is spoken. */
function toContextOptions(texts: PemTexts): SecureContextOptions {
  const { certificate: cert, key, authority } = texts;
  if (authority === undefined) return { cert, key, minVersion: "TLSv1.2" };
  return { cert, key, ca: authority, minVersion: "TLSv1.3" };
}
