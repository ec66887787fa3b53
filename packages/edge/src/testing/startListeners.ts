import { brand, EventRecorder, millis, SeededRandom } from '@papayahill/common'
import type { WorkspaceId } from '@papayahill/common'
import type { InstanceLimits, InstanceSecrets } from '@papayahill/settings'
import { createCallersApp } from '../callers/createCallersApp.js'
import { listenOn } from '../listenOn.js'
import type { EdgeListener } from '../listenOn.js'
import { createOperatorsApp } from '../operators/createOperatorsApp.js'
import { RequestIds } from '../RequestIds.js'
import { CLOCK, StubInstance } from './StubInstance.js'

const LOOPBACK = { ip: '127.0.0.1', port: 0 }

export const OPERATOR_TOKEN = 'a-token-of-operator-ana'
export const WORKSPACE_TOKEN = 'a-token-of-the-schools'

export const LIMITS: InstanceLimits = {
  bodyBytes: 2048, headerBytes: 4096, connections: 4, slowCallerBytes: 65_536, slowCallerPatience: millis(300)
}

const SECRETS: InstanceSecrets = {
  peers: 'a-secret-of-the-peers',
  operators: new Map([['ana', OPERATOR_TOKEN]]),
  workspaces: new Map([[brand<WorkspaceId>('schools'), WORKSPACE_TOKEN]])
}

/** Both listeners of a stubbed instance, on real sockets. */
export interface TestListeners {
  readonly instance: StubInstance
  readonly log: EventRecorder
  readonly callers: string
  readonly operators: string
  readonly callersPort: number
  close (): Promise<void>
}

export const startListeners = async (): Promise<TestListeners> => {
  const instance = new StubInstance()
  const log = new EventRecorder(CLOCK)
  const ids = new RequestIds(instance.self, new SeededRandom(1))
  const common = { instance: instance.entry, clock: CLOCK, log, secrets: SECRETS, ids }
  const { connections, headerBytes } = LIMITS
  const listen = { address: LOOPBACK, connections, headerBytes, ids, log }
  const callers: EdgeListener = await listenOn({ ...listen, app: createCallersApp({ ...common, limits: LIMITS }) })
  const operators: EdgeListener = await listenOn({ ...listen, app: createOperatorsApp(common) })
  return {
    instance,
    log,
    callers: `http://127.0.0.1:${callers.port}`,
    operators: `http://127.0.0.1:${operators.port}`,
    callersPort: callers.port,
    close: async () => {
      for (const listener of [callers, operators]) {
        listener.terminate()
        await listener.close()
      }
    }
  }
}
