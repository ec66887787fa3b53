/** A small deployment: the manifest of the cases, in the figures of the site `canicas-andinas`. */
import { KEY, HOST } from './requester.mjs'

export const STAGE = {
  slots: 1, queue: 2, batch: 8, callMs: 200, itemMs: 21, headroomMb: 18, handleTtlS: 4, linkMbps: 10_000
}

const route = (name, more) => ({
  name, host: HOST, prefix: `/${name}/`, priority: 1, phases: [], public: false, sessionAffinity: false, streamResume: false, ...more
})

const service = (name, maxConnections, more = {}) => ({
  name, healthPath: '/healthz', maxConnections, protocol: 'h1', tls: false, coldStartS: 0, coldPerS: 0, ...more
})

const engineType = {
  slots: 128,
  kvCapacity: 512_955,
  kvTokenBytes: 35_136,
  linkMbps: 740_000,
  migrations: true,
  backups: true,
  stride: 4,
  most: 12,
  pinMs: 4000,
  holdMs: 2000,
  handleTtlS: 5,
  modelList: [{ name: 'm' }]
}

export const MANIFEST = {
  version: 7,
  routeTable: [
    route('catalogo', {
      kind: 'streaming',
      service: 'asistente',
      timeoutMs: 6000,
      targetLatencyMs: 1000,
      maxAttempts: 2,
      streamResume: true,
      sessionAffinity: true,
      targetGapMs: 300,
      phases: [{ service: 'tienda', after: [], byteCount: 8000 }]
    }),
    route('guia', {
      kind: 'streaming',
      service: 'asistente',
      timeoutMs: 20_000,
      targetLatencyMs: 1800,
      maxAttempts: 2,
      priority: 2,
      streamResume: true,
      sessionAffinity: true,
      targetGapMs: 300,
      phases: [{ service: 'tienda', after: [], byteCount: 8000 }]
    }),
    route('pedido', { kind: 'unsafe', service: 'pedidos', timeoutMs: 6000, targetLatencyMs: 121, maxAttempts: 1, priority: 2 }),
    route('stock', { kind: 'safe', service: 'pedidos', timeoutMs: 6000, targetLatencyMs: 121, maxAttempts: 2, priority: 2 })
  ],
  services: [
    service('asistente', 610, { engineType }),
    service('pedidos', 96),
    service('tienda', 610, { segments: STAGE })
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'bozi300', apiKeys: [KEY] }]
}

/** Headers of a request for a generation whose stage has this many pieces. */
export const generationHeaders = (attempt, pieces) => ({
  'Papayahill-Model-Id': 'm',
  'Papayahill-Token-Usage': '1460,80',
  'Papayahill-Prefix-Hash': `5c1e07a2:800,91bd3f06:410,${attempt.slice(0, 8)}:250`,
  'Papayahill-Chunk-Count': String(pieces),
  'Papayahill-Chunk-Key': attempt
})
