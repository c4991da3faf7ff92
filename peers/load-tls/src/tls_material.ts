/**
 * The key and certificates that a process currently uses, reloaded when their
 * files are replaced. New ones apply only if key and certificate match; until
 * both files have been replaced, the previous pair stays in use.
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
  describeSource,
  type PemTexts,
  readPemTexts,
  readSignature,
} from "./pem_files.ts";

const DEFAULT_POLL_INTERVAL_MS = 5_000;

export interface TlsMaterialOptions {
  readonly source: TlsSource;
  readonly logger: Logger;
  /** Interval at which the files are checked for replacement. */
  readonly pollIntervalMs?: number;
}

export class TlsMaterial {
  readonly #source: TlsSource;
  readonly #logger: Logger;
  readonly #servers = new Set<TlsServer>();
  #timer: NodeJS.Timeout | undefined;
  #texts: PemTexts;
  #signature: string;
  /** Signature of the files that last failed to load, so as not to retry them. */
  #failedSignature: string | undefined;

  private constructor(
    { source, logger }: TlsMaterialOptions,
    { texts, signature }: LoadedTexts,
  ) {
    this.#source = source;
    this.#logger = logger;
    this.#texts = texts;
    this.#signature = signature;
  }

  /** Throws a `DandelionError` if a file is unreadable or the pair does not match. */
  static async create(options: TlsMaterialOptions): Promise<TlsMaterial> {
    const { source, pollIntervalMs = DEFAULT_POLL_INTERVAL_MS } = options;
    const material = new TlsMaterial(options, await loadSource(source));
    material.#timer = setInterval(
      () => void material.reloadIfChanged(),
      pollIntervalMs,
    ).unref();
    return material;
  }

  /** With an authority, rejects clients without a certificate that it signed. */
  createServerOptions(): TlsOptions {
    const isMutual = this.#texts.authority !== undefined;
    return {
      ...toContextOptions(this.#texts),
      requestCert: isMutual,
      rejectUnauthorized: isMutual,
    };
  }

  /** Creates the options of one connection; the next may need newer ones. */
  createClientOptions(): ConnectionOptions {
    return { ...toContextOptions(this.#texts), rejectUnauthorized: true };
  }

  /** Applies each reloaded pair to the server's new connections until it closes. */
  attachServer(server: HttpsServer | TlsServer): void {
    this.#servers.add(server);
    server.once("close", () => this.#servers.delete(server));
  }

  /** Reloads replaced files; resolves with whether a new pair was applied. */
  async reloadIfChanged(): Promise<boolean> {
    const signature = await readSignature(this.#source);
    if (signature === this.#signature) return false;
    if (signature === this.#failedSignature) return false;
    const path = describeSource(this.#source.certificate);
    try {
      const { texts } = await loadSource(this.#source);
      this.#apply({ texts, signature });
      this.#logger.log("tlsReloaded", { path });
      return true;
    } catch (error) {
      this.#failedSignature = signature;
      const { message } = error as DandelionError;
      this.#logger.log("tlsReloadFailed", { path, message });
      return false;
    }
  }

  /** Stops checking for replaced files. */
  close(): void {
    clearInterval(this.#timer);
  }

  #apply({ texts, signature }: LoadedTexts): void {
    this.#texts = texts;
    this.#signature = signature;
    this.#failedSignature = undefined;
    for (const server of this.#servers) {
      server.setSecureContext(toContextOptions(texts));
    }
  }
}

interface LoadedTexts {
  readonly texts: PemTexts;
  readonly signature: string;
}

/**
 * Reads the signature before the texts, so that a file replaced in between is
 * detected at the next check.
 */
async function loadSource(source: TlsSource): Promise<LoadedTexts> {
  const signature = await readSignature(source);
  const texts = await readPemTexts(source);
  validatePair(source, texts);
  return { texts, signature };
}

function validatePair(source: TlsSource, texts: PemTexts): void {
  try {
    createSecureContext(toContextOptions(texts));
  } catch (cause) {
    throw createError("The key and certificates do not match", {
      code: "DANDELIONBANK_TLS_MISMATCH",
      step: "load TLS",
      peer: describeSource(source.certificate),
      hint: "Set a PEM key, its certificate and, for mutual TLS, the authority",
      cause,
    });
  }
}

/**
 * Without an authority (callers' connections) TLS 1.2 is allowed, since callers
 * use clients of their own. Connections between peers require TLS 1.3.
 */
function toContextOptions(texts: PemTexts): SecureContextOptions {
  const { certificate: cert, key, authority } = texts;
  if (authority === undefined) return { cert, key, minVersion: "TLSv1.2" };
  return { cert, key, ca: authority, minVersion: "TLSv1.3" };
}
