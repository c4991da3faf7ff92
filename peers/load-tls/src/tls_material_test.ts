import {
  type CertificatePair,
  createTestAuthority,
  withTempFolder,
} from "@dandelionbank/certificates";
import type { Logger } from "@dandelionbank/log-events";
import type { TlsSource } from "@dandelionbank/types";
import assert from "node:assert/strict";
import { once } from "node:events";
import { copyFileSync, unlinkSync, writeFileSync } from "node:fs";
import { request as plainRequest } from "node:http";
import { createServer, request, type RequestOptions } from "node:https";
import type { AddressInfo } from "node:net";
import { join } from "node:path";
import { test } from "node:test";
import type { TLSSocket } from "node:tls";
import { Pool } from "undici";
import { createConnector, TlsMaterial } from "./mod.ts";

interface RecordingLogger extends Logger {
  readonly names: string[];
}

function createLogger(): RecordingLogger {
  const names: string[] = [];
  return { names, log: (name) => void names.push(name) };
}

function createTextSource(
  pair: CertificatePair,
  authority?: CertificatePair,
): TlsSource {
  return {
    certificate: { kind: "text", text: pair.certificate },
    key: { kind: "text", text: pair.key.replaceAll("\n", "\\n") },
    ...(authority && {
      authority: { kind: "text", text: authority.certificate },
    }),
  };
}

function createFileSource(pair: CertificatePair): TlsSource {
  return {
    certificate: { kind: "file", path: pair.certificatePath },
    key: { kind: "file", path: pair.keyPath },
  };
}

interface TestServer {
  readonly port: number;
  /** Common names of the clients whose request was handled. */
  readonly handled: string[];
}

async function withServer(
  material: TlsMaterial,
  use: (served: TestServer) => Promise<void>,
): Promise<void> {
  const handled: string[] = [];
  const server = createServer(
    material.createServerOptions(),
    (incoming, response) => {
      const peer = (incoming.socket as TLSSocket).getPeerCertificate();
      handled.push(String(peer.subject?.CN));
      response.end("served");
    },
  );
  material.attachServer(server);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  try {
    await use({ port: (server.address() as AddressInfo).port, handled });
  } finally {
    material.close();
    const closed = once(server, "close");
    server.close();
    server.closeAllConnections();
    await closed;
  }
}

/** Resolves with the common name in the certificate of the server. */
function probe(
  port: number,
  options: RequestOptions,
): Promise<string> {
  return new Promise((resolve, reject) => {
    const clientRequest = request({
      host: "127.0.0.1",
      port,
      agent: false,
      ...options,
    });
    clientRequest.on("error", reject);
    clientRequest.on("response", (response) => {
      const { subject } = (response.socket as TLSSocket).getPeerCertificate();
      response.resume().on("end", () => resolve(String(subject.CN)));
    });
    clientRequest.end();
  });
}

test("Mutual TLS rejects clients without a certificate of the authority", async () => {
  await withTempFolder(async (folder) => {
    const authority = createTestAuthority(folder, "ours");
    const other = createTestAuthority(folder, "other");
    const stranger = other.issue("entry");
    const logger = createLogger();
    const source = createTextSource(authority.issue("agent"), authority);
    const material = await TlsMaterial.create({ source, logger });
    const ca = authority.certificate;
    await withServer(material, async ({ port, handled }) => {
      const refused: readonly RequestOptions[] = [
        { ca },
        { ca, cert: stranger.certificate, key: stranger.key },
        { ca, cert: other.certificate, key: other.key },
        { rejectUnauthorized: false },
        { ca, maxVersion: "TLSv1.2" },
      ];
      for (const options of refused) await assert.rejects(probe(port, options));
      const plain = plainRequest({ host: "127.0.0.1", port }).end();
      await once(plain, "error");
      assert.deepEqual(handled, []);

      const { certificate: cert, key } = authority.issue("entry");
      assert.equal(
        await probe(port, { ca, cert, key }),
        "ours-agent",
      );
      assert.deepEqual(handled, ["ours-entry"]);
    });
  });
});

test("A client sends no request to a server of another authority", async () => {
  await withTempFolder(async (folder) => {
    const authority = createTestAuthority(folder, "ours");
    const other = createTestAuthority(folder, "other");
    const logger = createLogger();
    const server = await TlsMaterial.create({
      source: createTextSource(other.issue("agent"), authority),
      logger,
    });
    const client = await TlsMaterial.create({
      source: createTextSource(authority.issue("entry"), authority),
      logger,
    });
    await withServer(server, async ({ port, handled }) => {
      const pool = new Pool(`https://127.0.0.1:${port}`, {
        connect: createConnector(client),
      });
      await assert.rejects(pool.request({ path: "/", method: "GET" }));
      await pool.destroy();
      client.close();
      assert.deepEqual(handled, []);
    });
  });
});

test("A replaced key and certificate apply to new connections once both match", async () => {
  await withTempFolder(async (folder) => {
    const authority = createTestAuthority(folder, "ours");
    const first = authority.issue("first");
    const second = authority.issue("second");
    const logger = createLogger();
    const source = {
      ...createFileSource(first),
      authority: { kind: "file", path: authority.certificatePath },
    } as const;
    const material = await TlsMaterial.create({ source, logger });
    await withServer(material, async ({ port, handled }) => {
      const connect = createConnector(material);
      const requestOnce = async () => {
        const pool = new Pool(`https://127.0.0.1:${port}`, { connect });
        const { body } = await pool.request({ path: "/", method: "GET" });
        await body.dump();
        await pool.close();
      };
      await requestOnce();
      assert.equal(await material.reloadIfChanged(), false);

      copyFileSync(second.keyPath, first.keyPath);
      assert.equal(await material.reloadIfChanged(), false);
      assert.equal(await material.reloadIfChanged(), false);
      await requestOnce();

      copyFileSync(second.certificatePath, first.certificatePath);
      assert.equal(await material.reloadIfChanged(), true);
      await requestOnce();
      assert.deepEqual(handled, ["ours-first", "ours-first", "ours-second"]);
      assert.equal(
        await probe(port, material.createClientOptions()),
        "ours-second",
      );
    });
    assert.deepEqual(logger.names, ["tlsReloadFailed", "tlsReloaded"]);
  });
});

test("Without an authority, a server requests no client certificate", async () => {
  await withTempFolder(async (folder) => {
    const authority = createTestAuthority(folder, "public");
    const source = createFileSource(authority.issue("entry"));
    const material = await TlsMaterial.create({
      source,
      logger: createLogger(),
    });
    await withServer(material, async ({ port, handled }) => {
      const ca = authority.certificate;
      assert.equal(await probe(port, { ca }), "public-entry");
      assert.deepEqual(handled, ["undefined"]);
    });
  });
});

test("Unreadable and mismatched files fail with an error that names the file", async () => {
  await withTempFolder(async (folder) => {
    const authority = createTestAuthority(folder, "ours");
    const first = authority.issue("first");
    const logger = createLogger();
    const missing = join(folder, "missing.pem");
    const broken = join(folder, "broken.pem");
    writeFileSync(broken, "not a certificate");
    const certificates = [
      [missing, "DANDELIONBANK_TLS_UNREADABLE", missing],
      [broken, "DANDELIONBANK_TLS_MISMATCH", broken],
      [
        authority.certificatePath,
        "DANDELIONBANK_TLS_MISMATCH",
        authority
          .certificatePath,
      ],
    ] as const;
    for (const [path, code, peer] of certificates) {
      const source = {
        ...createFileSource(first),
        certificate: { kind: "file", path },
      };
      await assert.rejects(
        TlsMaterial.create({ source: source as TlsSource, logger }),
        { code, peer },
      );
    }
  });
});

test("The previous pair stays in use when a file is removed", async () => {
  await withTempFolder(async (folder) => {
    const authority = createTestAuthority(folder, "ours");
    const first = authority.issue("first");
    const logger = createLogger();
    const source = createFileSource(first);
    const material = await TlsMaterial.create({ source, logger });
    unlinkSync(first.keyPath);
    assert.equal(await material.reloadIfChanged(), false);
    assert.equal(material.createServerOptions().cert, first.certificate);
    material.close();
    assert.deepEqual(logger.names, ["tlsReloadFailed"]);
  });
});
