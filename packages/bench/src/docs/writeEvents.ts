import { writeFileSync } from 'node:fs'
import { loadCatalogues } from './loadCatalogues.js'
import { renderEvents } from './renderEvents.js'

const PAGE = new URL('../../../../docs/EVENTS.md', import.meta.url)

writeFileSync(PAGE, renderEvents(await loadCatalogues('dist/events.js')))
