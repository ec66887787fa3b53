import { isIP } from 'node:net'
import { brand, SeededRandom } from '@papayahill/common'
import { Trace } from '@papayahill/invariants'
import type { ServiceId } from '@papayahill/common'
import type { ListedInstance } from '@papayahill/stores'
import { formatFault, parseOperatorConfig } from '@papayahill/settings'
import type { OperatorConfig } from '@papayahill/settings'
import { serveDeployment } from '@papayahill/standins'
import type { ServedDeployment } from '@papayahill/standins'
import { CliFailure } from '../CliFailure.js'
import { PAPAYAHILL_EVENTS } from '../events.js'
import { EXIT_CODES } from '../exitCodes.js'
import { readTextFile } from '../readTextFile.js'
import { defineCommand } from '../types.js'

const FIRST_PORT = 9000

const readInstance = (text: string): ListedInstance => {
  const [id = '', domain = '', address = ''] = text.split('@')
  const separator = address.lastIndexOf(':')
  const ip = address.slice(0, separator)
  const port = Number(address.slice(separator + 1))
  if (id === '' || domain === '' || isIP(ip) === 0 || !Number.isInteger(port)) {
    throw new CliFailure(`${text} is not a valid instance; expected a form such as ph-1@scl-a@127.0.0.1:8082`, EXIT_CODES.malformed)
  }
  return { id: brand(id), domain: brand(domain), address: { ip, port }, state: 'live' }
}

const startNewVersion = async (deployment: ServedDeployment, config: OperatorConfig, text: string): Promise<void> => {
  const [id = '', version = ''] = text.split('@')
  const service = config.services.get(brand<ServiceId>(id))
  if (service === undefined || version === '') {
    throw new CliFailure(`${text} is not a valid service and version; expected a form such as assistant@v2`, EXIT_CODES.malformed)
  }
  for (const domain of config.domains.keys()) await deployment.addEndpoint(service, version, domain)
}

const waitForStopSignal = (): Promise<void> => new Promise((resolve) => {
  process.once('SIGINT', () => resolve())
  process.once('SIGTERM', () => resolve())
})

/** Runs stand-ins of the platform and of all services' endpoints, for manual tests. */
export const standins = defineCommand({
  command: 'standins',
  describe: 'Run stand-ins of the platform and the endpoints on loopback, for manual tests',
  examples: [['$0 standins --settings examples/consorcio.toml --instance ph-1@scl-a@127.0.0.1:8082', 'Everything that one instance connects to']],
  builder: (argv) => argv
    .option('settings', { type: 'string', demandOption: true, describe: 'An operators\' file; stand-ins are started for its services' })
    .option('instance', { type: 'string', array: true, default: [] as string[], describe: 'An entry instance to list: id@domain@ip:port of its listener for peers' })
    .option('beside', { type: 'string', array: true, default: [] as string[], describe: 'A new version to run beside the old one, in each domain: service@version' })
    .option('first-port', { type: 'number', default: FIRST_PORT, describe: 'First port of table, objects and list; endpoints start 100 above' })
    .option('seed', { type: 'number', default: 1, describe: 'Random seed' }),
  run: async (args, cli) => {
    const parsed = parseOperatorConfig(readTextFile(args.settings), args.settings)
    if (parsed.isErr) throw new CliFailure(parsed.error.map(formatFault).join('\n'), EXIT_CODES.malformed)
    const deployment = await serveDeployment({
      config: parsed.value,
      clock: cli.clock,
      random: new SeededRandom(args.seed),
      trace: new Trace(),
      instances: args.instance.map(readInstance),
      firstPort: args.firstPort
    })
    for (const text of args.beside) await startNewVersion(deployment, parsed.value, text)
    cli.print(PAPAYAHILL_EVENTS.standInsRun.text)
    for (const [name, origin] of Object.entries(deployment.origins)) cli.print(`${name.padEnd(16)} ${origin}`)
    for (const { listed } of deployment.endpoints) {
      cli.print(`${listed.id.padEnd(16)} http://${listed.address.ip}:${listed.address.port} ${listed.domain} ${listed.version}`)
    }
    await waitForStopSignal()
    await deployment.close()
    return EXIT_CODES.done
  }
})
